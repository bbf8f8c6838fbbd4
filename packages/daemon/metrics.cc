#include "daemon/metrics.h"

#include <prometheus/text_serializer.h>

#include <sstream>

namespace limpetwood::daemon {

namespace {

// Appends a metric and returns a reference to it, for its value to be set.
prometheus::ClientMetric&
AppendMetric(Families& aFamilies,
             const std::string& aName,
             const std::string& aHelp,
             prometheus::MetricType aType,
             const std::vector<MetricLabel>& aLabels)
{
  if (aFamilies.empty() || aFamilies.back().name != aName) {
    aFamilies.push_back({ aName, aHelp, aType, {} });
  }
  prometheus::ClientMetric metric;
  for (const auto& [name, value] : aLabels) {
    metric.label.push_back({ name, value });
  }
  aFamilies.back().metric.push_back(std::move(metric));
  return aFamilies.back().metric.back();
}

} // namespace

void
AddCounter(Families& aFamilies,
           const std::string& aName,
           const std::string& aHelp,
           double aValue,
           const std::vector<MetricLabel>& aLabels)
{
  AppendMetric(
    aFamilies, aName, aHelp, prometheus::MetricType::Counter, aLabels)
    .counter.value = aValue;
}

void
AddGauge(Families& aFamilies,
         const std::string& aName,
         const std::string& aHelp,
         double aValue,
         const std::vector<MetricLabel>& aLabels)
{
  AppendMetric(aFamilies, aName, aHelp, prometheus::MetricType::Gauge, aLabels)
    .gauge.value = aValue;
}

void
MetricRegistry::Publish(const std::string& aSection, Families aFamilies)
{
  std::lock_guard<std::mutex> lock(mMutex);
  mSections[aSection] = std::move(aFamilies);
}

std::string
MetricRegistry::Render() const
{
  Families all;
  {
    std::lock_guard<std::mutex> lock(mMutex);
    for (const auto& [section, families] : mSections) {
      all.insert(all.end(), families.begin(), families.end());
    }
  }
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, all);
  return out.str();
}

} // namespace limpetwood::daemon
