// Metrics of the daemon in the Prometheus text format.
//
// Each part publishes its families as plain values from its own thread; a
// scrape renders the latest ones.

#pragma once

#include <prometheus/metric_family.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace limpetwood::daemon {

using Families = std::vector<prometheus::MetricFamily>;

// Label name and value.
using MetricLabel = std::pair<std::string, std::string>;

// Appends a counter or gauge; consecutive calls with the same name add to one
// family.
void
AddCounter(Families& aFamilies,
           const std::string& aName,
           const std::string& aHelp,
           double aValue,
           const std::vector<MetricLabel>& aLabels = {});
void
AddGauge(Families& aFamilies,
         const std::string& aName,
         const std::string& aHelp,
         double aValue,
         const std::vector<MetricLabel>& aLabels = {});

class MetricRegistry
{
public:
  void Publish(const std::string& aSection, Families aFamilies);
  std::string Render() const;

private:
  mutable std::mutex mMutex;
  std::map<std::string, Families> mSections;
};

} // namespace limpetwood::daemon
