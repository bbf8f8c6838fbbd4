#include "scheduler/views.h"

namespace limpetwood::scheduler {

const char*
CounterName(CounterKind aCounter)
{
  // In the order of `CounterKind`.
  static constexpr std::array<const char*,
                              static_cast<std::size_t>(CounterKind::kSize)>
    kNames = { "refused_impossible",
               "refused_unknown_workspace",
               "refused_duplicate_job",
               "refused_stale_report",
               "refused_stale_incarnation",
               "refused_unknown_worker",
               "preempted_for_guarantee",
               "preempted_for_urgent",
               "preempted_for_reservation",
               "preempted_for_move",
               "preemption_called_off",
               "retry_prepare_refused",
               "retry_prepare_timeout",
               "retry_start_timeout",
               "retry_worker_lost",
               "retry_member_failed",
               "retry_not_whole",
               "retry_starts_forbidden",
               "started",
               "succeeded",
               "failed",
               "cancelled",
               "backfilled",
               "quarantined",
               "readmitted",
               "adopted",
               "worker_crashed",
               "given_up_after_crashes" };
  return kNames.at(static_cast<std::size_t>(aCounter));
}

} // namespace limpetwood::scheduler
