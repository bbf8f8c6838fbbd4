// File system interface of the log store, which tests replace by a disk that
// fails.

#pragma once

#include "base/result.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace limpetwood::replication {

// A file open for appending.
class AppendFile
{
public:
  virtual ~AppendFile() = default;

  // Appends bytes, which survive a crash only after `Sync`. After an error the
  // content of the unsynced part is unspecified.
  virtual std::error_code Append(std::string_view aBytes) = 0;
  virtual std::error_code Sync() = 0;
};

// Calls fail with `kNoSpace`, `kNotFound` or `kIo`. Path components are
// separated by '/'.
class Disk
{
public:
  virtual ~Disk() = default;

  // Creates a folder, with those above it. Until `SyncFolder` of the one above,
  // a crash may remove it with all files in it.
  virtual std::error_code MakeFolder(const std::string& aFolder) = 0;
  // Names of the files in a folder, in any order.
  virtual Result<std::vector<std::string>> List(const std::string& aFolder) = 0;
  virtual Result<std::string> Read(const std::string& aPath) = 0;
  // Makes the content of an existing file durable, also what an earlier process
  // appended.
  virtual std::error_code SyncFile(const std::string& aPath) = 0;
  // Creates an empty file, replacing an existing one.
  virtual Result<std::unique_ptr<AppendFile>> Create(
    const std::string& aPath) = 0;
  virtual std::error_code Rename(const std::string& aFrom,
                                 const std::string& aTo) = 0;
  virtual std::error_code Remove(const std::string& aPath) = 0;
  // Makes earlier creations, renames and removals in the folder durable. An
  // empty path is the working folder.
  virtual std::error_code SyncFolder(const std::string& aFolder) = 0;
};

// The file system of the operating system; lives as long as the process.
Disk&
RealDisk();

} // namespace limpetwood::replication
