// Tests of the log store on disks with torn writes, bit flips and no space.

#include "replication/log_store.h"

#include "base/error.h"
#include "replication/memory_disk.h"

#include <gtest/gtest.h>

namespace limpetwood::replication {
namespace {

constexpr uint64_t kEntries = 12;

Entry
EntryAt(uint64_t aIndex)
{
  return { .term = 3,
           .index = aIndex,
           .kind = EntryKind::kCommand,
           .data = "command " + std::to_string(aIndex) };
}

// The default `aNewDiskId` differs from the disk id 5 of `WriteMemberState`.
std::unique_ptr<LogStore>
OpenStore(MemoryDisk& aDisk, LoadedLog& aLoaded, uint64_t aNewDiskId = 6)
{
  auto store = LogStore::Open(
    aDisk, { .folder = "data", .newDiskId = DiskId(aNewDiskId) }, aLoaded);
  EXPECT_TRUE(store.Ok());
  return store ? std::move(store).Value() : nullptr;
}

// Stores the state of a group member with `kEntries` synced entries.
void
WriteMemberState(MemoryDisk& aDisk)
{
  LoadedLog loaded;
  auto store = OpenStore(aDisk, loaded, 5);
  loaded.state.group = GroupId(9);
  loaded.state.hardState.term = 3;
  ASSERT_FALSE(store->WriteState(loaded.state));
  for (uint64_t i = 1; i <= kEntries; ++i) {
    Entry entry = EntryAt(i);
    ASSERT_FALSE(store->Append({ &entry, 1 }));
  }
  ASSERT_FALSE(store->Sync());
}

// Guards against a damaged record that is accepted, or treated as a torn write.
TEST(LogStore, DetectsEveryFlippedBitOfTheLog)
{
  MemoryDisk original;
  WriteMemberState(original);
  std::string name = "data/log-00000000000000000001";
  std::string bytes = original.Read(name).Value();
  for (size_t bit = 0; bit < bytes.size() * 8; ++bit) {
    MemoryDisk disk;
    WriteMemberState(disk);
    std::string damaged = bytes;
    damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1 << (bit % 8)));
    auto file = disk.Create(name);
    ASSERT_FALSE(file.Value()->Append(damaged));
    LoadedLog loaded;
    OpenStore(disk, loaded);
    ASSERT_TRUE(loaded.damaged) << bit;
    // If no entry is left, the replica gets a new disk id instead of a repair.
    bool hasNewDiskId = loaded.identityLost;
    ASSERT_EQ(hasNewDiskId, loaded.entries.empty()) << bit;
    ASSERT_EQ(hasNewDiskId, loaded.state.disk == DiskId(6)) << bit;
    ASSERT_NE(hasNewDiskId, loaded.state.hardState.repairing) << bit;
    ASSERT_LT(loaded.entries.size(), kEntries) << bit;
    for (size_t i = 0; i < loaded.entries.size(); ++i) {
      ASSERT_EQ(loaded.entries[i], EntryAt(i + 1)) << bit;
    }
    // Another restart must keep the new disk id or the repair, although the
    // damaged part was removed.
    OpenStore(disk, loaded);
    ASSERT_EQ(hasNewDiskId, loaded.state.disk == DiskId(6)) << bit;
    ASSERT_NE(hasNewDiskId, loaded.state.hardState.repairing) << bit;
  }
}

// Guards against a torn write that is treated as damage: after a power failure
// of all instances, every replica would need a repair and none could vote.
TEST(LogStore, CutsATornTail)
{
  for (uint64_t seed = 0; seed < 300; ++seed) {
    MemoryDisk disk;
    WriteMemberState(disk);
    Random random(seed);
    LoadedLog loaded;
    auto store = OpenStore(disk, loaded);
    Entry entry = EntryAt(kEntries + 1);
    ASSERT_FALSE(store->Append({ &entry, 1 }));
    disk.Crash(random);
    for (int opens = 0; opens < 3; ++opens) {
      store = OpenStore(disk, loaded);
      ASSERT_FALSE(loaded.damaged) << seed;
      ASSERT_GE(loaded.entries.size(), kEntries) << seed;
    }
  }
}

// Guards against a replica that keeps its disk id although its earlier votes
// are unknown, and so could vote twice in a term.
TEST(LogStore, TakesANewDiskIdIfBothStateFilesAreDamaged)
{
  MemoryDisk disk;
  WriteMemberState(disk);
  for (const char* name : { "data/state-0", "data/state-1" }) {
    std::string bytes = disk.Read(name).Value();
    bytes[9] = static_cast<char>(bytes[9] ^ 1);
    ASSERT_FALSE(disk.Create(name).Value()->Append(bytes));
    LoadedLog loaded;
    auto store = LogStore::Open(
      disk, { .folder = "data", .newDiskId = DiskId(6) }, loaded);
    ASSERT_TRUE(store.Ok());
    // One valid copy is enough, and the damaged one is written again.
    EXPECT_FALSE(loaded.identityLost);
    EXPECT_EQ(loaded.state.disk, DiskId(5));
  }
  for (const char* name : { "data/state-0", "data/state-1" }) {
    ASSERT_FALSE(disk.Create(name).Value()->Append("nonsense"));
  }
  LoadedLog loaded;
  auto store =
    LogStore::Open(disk, { .folder = "data", .newDiskId = DiskId(6) }, loaded);
  ASSERT_TRUE(store.Ok());
  EXPECT_TRUE(loaded.identityLost);
  EXPECT_EQ(loaded.state.disk, DiskId(6));
  EXPECT_TRUE(loaded.entries.empty());
}

// Guards against the loss of entries by a full disk and a crash at any point of
// writing a snapshot.
TEST(LogStore, SurvivesFailuresAtEveryStepOfASnapshot)
{
  size_t complete = 0;
  for (uint64_t freeBytes = 0; freeBytes < 2000; freeBytes += 7) {
    MemoryDisk disk;
    WriteMemberState(disk);
    LoadedLog loaded;
    auto store = OpenStore(disk, loaded);
    disk.SetCapacity(disk.UsedBytes() + freeBytes);
    Snapshot snapshot{
      .index = 8,
      .term = 3,
      .membership = { .voters = { { InstanceId("a"), DiskId(5) } } },
      .data = std::make_shared<std::string>(500, 's')
    };
    std::error_code ec = store->SaveSnapshot(snapshot);
    EXPECT_TRUE(!ec || ec == Errc::kNoSpace);
    complete += ec ? 0 : 1;
    disk.SetCapacity(SIZE_MAX);
    Random random(freeBytes);
    disk.Crash(random);
    OpenStore(disk, loaded);
    ASSERT_FALSE(loaded.damaged) << freeBytes;
    ASSERT_EQ(loaded.snapshot.index + loaded.entries.size(), kEntries)
      << freeBytes;
  }
  EXPECT_GT(complete, 0U);
}

// Guards against a group that never has a leader again after processes were
// killed and power was lost: what a restarted replica read, it takes as stored.
TEST(LogStore, WhatIsReadAfterAKillSurvivesALossOfPower)
{
  MemoryDisk disk;
  WriteMemberState(disk);
  LoadedLog loaded;
  auto store = OpenStore(disk, loaded);
  Entry entry = EntryAt(kEntries + 1);
  ASSERT_FALSE(store->Append({ &entry, 1 }));
  // The process is killed before the sync.
  store.reset();
  store = OpenStore(disk, loaded);
  ASSERT_EQ(loaded.entries.size(), kEntries + 1);
  store.reset();
  Random random(1);
  disk.Crash(random);
  OpenStore(disk, loaded);
  EXPECT_FALSE(loaded.damaged);
  EXPECT_EQ(loaded.entries.size(), kEntries + 1);
}

// What a replica may rely on: everything that it synced or read at a start.
struct Durable
{
  uint64_t term = 3;
  uint64_t lastIndex = kEntries;
};

// Plays random orders of writes, syncs, snapshots, disk errors in the middle of
// a call, kills and losses of power. Returns the number of restarts.
size_t
PlayRestarts(uint64_t aSeed)
{
  MemoryDisk disk;
  WriteMemberState(disk);
  Random random(aSeed);
  LoadedLog loaded;
  Durable durable;
  uint64_t last = kEntries;
  uint64_t term = 3;
  auto store = OpenStore(disk, loaded);
  size_t restarts = 0;
  for (int n = 0; n < 40; ++n) {
    // A call fails from a random disk operation on, as if the process had been
    // killed there.
    disk.FailAfter(random.Chance(0.3) ? random.Below(6) : SIZE_MAX);
    std::error_code ec;
    uint64_t kind = random.Below(10);
    if (kind < 5) {
      Entry entry = EntryAt(last + 1);
      ec = store->Append({ &entry, 1 });
      last += ec ? 0 : 1;
    } else if (kind < 7) {
      ec = store->Sync();
      durable.lastIndex = ec ? durable.lastIndex : last;
    } else if (kind < 8) {
      StateRecord state = loaded.state;
      state.hardState.term = term + 1;
      ec = store->WriteState(state);
      durable.term = ec ? durable.term : ++term;
    } else if (kind < 9 && durable.lastIndex > loaded.snapshot.index) {
      ec = store->SaveSnapshot(
        { .index = durable.lastIndex,
          .term = 3,
          .membership = { .voters = { { InstanceId("a"), DiskId(5) } } },
          .data = std::make_shared<std::string>("state") });
    }
    disk.FailAfter(SIZE_MAX);
    if (!ec && random.Chance(0.7)) {
      continue;
    }
    ++restarts;
    store.reset();
    if (random.Chance(0.5)) {
      disk.Crash(random);
    }
    store = OpenStore(disk, loaded);
    EXPECT_FALSE(loaded.damaged) << "seed " << aSeed;
    EXPECT_FALSE(loaded.identityLost) << "seed " << aSeed;
    uint64_t read = loaded.snapshot.index + loaded.entries.size();
    EXPECT_GE(read, durable.lastIndex) << "seed " << aSeed;
    EXPECT_GE(loaded.state.hardState.term, durable.term) << "seed " << aSeed;
    durable = { .term = loaded.state.hardState.term, .lastIndex = read };
    last = read;
    term = durable.term;
    if (testing::Test::HasFailure()) {
      return restarts;
    }
  }
  return restarts;
}

// Guards against the same for the term and the vote, snapshots and the sizes of
// segments, killed at any disk operation, in any order with losses of power.
TEST(LogStore, RandomKillsAndLossesOfPowerLoseNothingThatWasRead)
{
  constexpr uint64_t kSeeds = 10'000;
  size_t restarts = 0;
  for (uint64_t seed = 1; seed <= kSeeds && !HasFailure(); ++seed) {
    restarts += PlayRestarts(seed);
  }
  EXPECT_GT(restarts, kSeeds);
}

// Guards against a log that grows without bound although snapshots are taken.
TEST(LogStore, RemovesSegmentsThatASnapshotCovers)
{
  MemoryDisk disk;
  LoadedLog loaded;
  auto store = OpenStore(disk, loaded);
  size_t largest = 0;
  for (uint64_t i = 1; i <= 10000; ++i) {
    Entry entry = EntryAt(i);
    ASSERT_FALSE(store->Append({ &entry, 1 }));
    if (i % 100 == 0) {
      ASSERT_FALSE(store->SaveSnapshot(
        { .index = i,
          .term = 3,
          .membership = { .voters = { { InstanceId("a"), DiskId(5) } } },
          .data = std::make_shared<std::string>("state") }));
    }
    largest = std::max(largest, disk.UsedBytes());
  }
  // Two snapshot intervals, and 2000 bytes for the other files. An entry takes
  // about 60 bytes; 80 are allowed.
  EXPECT_LT(largest, 2 * 100 * 80 + 2000);
}

} // namespace
} // namespace limpetwood::replication
