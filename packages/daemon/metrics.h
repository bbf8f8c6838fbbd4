// Metrics of the daemon in the Prometheus text format.
//
// Each component publishes a copy of its metric families from its own thread. A
// scrape renders the last published ones.

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

// Append a counter or gauge. Consecutive calls with the same name add metrics
// to one family.
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

// Holds the last published families of each section. A section has the families
// of one publishing component. Thread-safe.
class MetricRegistry
{
public:
  // Replaces the families of a section.
  void Publish(const std::string& aSection, Families aFamilies);
  std::string Render() const;

private:
  mutable std::mutex mMutex;
  std::map<std::string, Families> mSections;
};

} // namespace limpetwood::daemon
