#include "replication/testing/checker.h"

#include "base/hash.h"

#include <algorithm>

namespace limpetwood::replication::testing {

void
Checker::ReportViolation(const std::string& aProperty,
                         const std::string& aDetail)
{
  if (mViolation.empty()) {
    mViolation = aProperty + ": " + aDetail;
  }
}

uint64_t
Checker::HashAt(uint64_t aIndex) const
{
  auto it = mHashByIndex.upper_bound(aIndex);
  return it == mHashByIndex.begin() ? 0 : std::prev(it)->second;
}

void
Checker::OnApplied(const std::string& aNode,
                   uint64_t aIndex,
                   const std::string& aCommand)
{
  auto [at, added] = mCommandByIndex.emplace(aIndex, aCommand);
  if (!added) {
    if (at->second != aCommand) {
      ReportViolation("state machine safety",
                      aNode + " applied " + aCommand + " at " +
                        std::to_string(aIndex) +
                        " where another replica applied " + at->second);
    }
    return;
  }
  auto later = std::next(at);
  if (later != mCommandByIndex.end()) {
    ReportViolation(
      "state machine safety",
      aNode + " applied a command at " + std::to_string(aIndex) +
        " after another replica applied a later index without it");
  }
  mHashByIndex[aIndex] = Hash64(aCommand, HashAt(aIndex - 1));
  auto [index, first] = mIndexByCommand.emplace(aCommand, aIndex);
  if (!first) {
    ReportViolation("at most once", aCommand + " has two indexes");
  }
  if (mNotRun.contains(aCommand)) {
    ReportViolation("verdict", aCommand + " ran after the verdict not_run");
  }
}

void
Checker::OnRestored(const std::string& aNode, uint64_t aIndex, uint64_t aHash)
{
  if (HashAt(aIndex) != aHash) {
    ReportViolation("state machine safety",
                    aNode + " restored a different state at " +
                      std::to_string(aIndex));
  }
}

void
Checker::OnAnswered(const std::string& aCommand,
                    uint64_t aIndex,
                    uint64_t aSeenAtStart)
{
  auto it = mIndexByCommand.find(aCommand);
  if (it == mIndexByCommand.end() || it->second != aIndex) {
    ReportViolation("lost write", aCommand + " was answered but not applied");
  }
  if (aIndex <= aSeenAtStart) {
    ReportViolation("linearizability",
                    aCommand + " precedes an earlier operation");
  }
  mSeenIndex = std::max(mSeenIndex, aIndex);
}

void
Checker::OnNotRun(const std::string& aCommand)
{
  mNotRun.insert(aCommand);
  if (mIndexByCommand.contains(aCommand)) {
    ReportViolation("verdict", aCommand + " ran before the verdict not_run");
  }
}

void
Checker::OnReadDone(const std::string& aNode,
                    uint64_t aIndex,
                    uint64_t aSeenAtStart)
{
  if (aIndex < aSeenAtStart) {
    ReportViolation("linearizability",
                    aNode + " read as of " + std::to_string(aIndex) +
                      " after " + std::to_string(aSeenAtStart) + " was seen");
  }
  mSeenIndex = std::max(mSeenIndex, aIndex);
}

void
Checker::CheckReplica(const internal::GroupImpl& aGroup)
{
  const Raft* raft = aGroup.RaftForTest();
  if (raft == nullptr) {
    return;
  }
  GroupStatus status = aGroup.Status();
  const internal::EntryLog& log = raft->Log();
  if (raft->CurrentRole() == Role::kLeader) {
    auto [it, first] =
      mLeaderByTerm.emplace(std::pair(status.group, status.term), status.self);
    if (it->second != status.self) {
      ReportViolation("election safety",
                      status.self.instance.Value() + " and " +
                        it->second.instance.Value() + " lead term " +
                        std::to_string(status.term));
    }
    if (first) {
      for (const auto& [index, term] : mCommittedTermByIndex) {
        if (index > log.BaseIndex() && log.TermAt(index) != term) {
          ReportViolation("leader completeness",
                          status.self.instance.Value() + " leads term " +
                            std::to_string(status.term) + " without entry " +
                            std::to_string(index));
        }
      }
    }
  }
  uint64_t& seen = mCheckedCommitIndex[status.self];
  uint64_t from = std::max(seen, log.BaseIndex()) + 1;
  for (uint64_t i = from; i <= status.commitIndex; ++i) {
    uint64_t term = log.TermAt(i).value_or(0);
    auto [it, first] = mCommittedTermByIndex.emplace(i, term);
    if (it->second != term) {
      ReportViolation("committed entries",
                      status.self.instance.Value() +
                        " committed a different entry at " + std::to_string(i));
    }
  }
  seen = std::max(seen, status.commitIndex);
}

void
Checker::CompareLogs(const Raft& aLeft, const Raft& aRight)
{
  const internal::EntryLog& left = aLeft.Log();
  const internal::EntryLog& right = aRight.Log();
  uint64_t low = std::max(left.BaseIndex(), right.BaseIndex()) + 1;
  bool matched = false;
  for (uint64_t i = std::min(left.LastIndex(), right.LastIndex()); i >= low;
       --i) {
    matched = matched || left.At(i).term == right.At(i).term;
    if (matched && left.At(i) != right.At(i)) {
      ReportViolation("log matching", "entries differ at " + std::to_string(i));
    }
  }
}

} // namespace limpetwood::replication::testing
