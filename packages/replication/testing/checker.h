// Checks the safety properties of a simulated group while the simulation runs.

#pragma once

#include "replication/internal/group_impl.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace limpetwood::replication::testing {

// Collects the events of all replicas and records the first violation.
class Checker
{
public:
  bool Ok() const { return mViolation.empty(); }
  // Empty, or the name of the violated property, a colon and the details.
  const std::string& Violation() const { return mViolation; }
  void ReportViolation(const std::string& aProperty,
                       const std::string& aDetail);

  // Called when a replica applied a command. Checks that every index has one
  // command and every command at most one index.
  void OnApplied(const std::string& aNode,
                 uint64_t aIndex,
                 const std::string& aCommand);
  // Called when a replica restored a snapshot. Checks its hash against the
  // commands up to `aIndex`.
  void OnRestored(const std::string& aNode, uint64_t aIndex, uint64_t aHash);
  // Hash of all commands up to an applied index.
  uint64_t HashAt(uint64_t aIndex) const;

  // The highest index that a completed operation of any client has observed.
  // Operations that start later must observe at least this index.
  uint64_t SeenIndex() const { return mSeenIndex; }
  // Called with the outcome of an operation. `aSeenAtStart` is `SeenIndex()` at
  // the time when it started.
  void OnAnswered(const std::string& aCommand,
                  uint64_t aIndex,
                  uint64_t aSeenAtStart);
  void OnNotRun(const std::string& aCommand);
  void OnReadDone(const std::string& aNode,
                  uint64_t aIndex,
                  uint64_t aSeenAtStart);

  // Checks a replica after each of its steps: one leader per term, leaders with
  // all committed entries, and agreement on committed entries.
  void CheckReplica(const internal::GroupImpl& aGroup);
  // Checks the log matching property: if two logs have entries of the same term
  // at an index, they are equal up to that index.
  void CompareLogs(const Raft& aLeft, const Raft& aRight);

private:
  std::string mViolation;
  std::map<uint64_t, std::string> mCommandByIndex;
  std::map<uint64_t, uint64_t> mHashByIndex;
  std::map<std::string, uint64_t> mIndexByCommand;
  std::set<std::string> mNotRun;
  uint64_t mSeenIndex = 0;
  // The leader of each term. A group whose coordinator lost its disk before
  // anything was replicated may form again from term 1 under another id, so the
  // terms of each group are separate. The other checks span both groups.
  std::map<std::pair<GroupId, uint64_t>, Member> mLeaderByTerm;
  // By index, the term of each entry that some replica knows to be committed.
  std::map<uint64_t, uint64_t> mCommittedTermByIndex;
  std::map<Member, uint64_t> mCheckedCommitIndex;
};

} // namespace limpetwood::replication::testing
