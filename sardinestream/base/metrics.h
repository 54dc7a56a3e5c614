// Records counters, gauges and latency histograms and renders them as Prometheus text.
//
// Use the process-wide registry through the free functions:
//
//     count("sardine_refusals_total", {{"code", "team_limit"}});
//     observe_seconds("sardine_first_token_seconds", {}, 0.021);
//     set_gauge("sardine_in_flight", {}, 12);
//
// Histograms are Boost.Histogram with a logarithmic axis from 0.1 ms to 100 s.
// docs/OPERATIONS.md lists every name. All functions are thread-safe.

#ifndef SARDINESTREAM_BASE_METRICS_H_
#define SARDINESTREAM_BASE_METRICS_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"

namespace sardinestream {

// Label names and values, in the order in which they are rendered.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

// Adds `amount` to a counter, which starts at zero.
void count(absl::string_view name, const metric_labels& labels = {}, std::uint64_t amount = 1);

// Sets a gauge.
void set_gauge(absl::string_view name, const metric_labels& labels, double value);

// Sets the gauges of a name, one for each set of labels, and removes existing ones that are not in
// `values`.
void set_gauges(absl::string_view name,
                const std::vector<std::pair<metric_labels, double>>& values);

// Adds one sample, in seconds, to a histogram.
void observe_seconds(absl::string_view name, const metric_labels& labels, double seconds);

// Returns a counter's value, or zero if it has never been counted.
[[nodiscard]] std::uint64_t counter_value(absl::string_view name, const metric_labels& labels = {});

// Returns the quantile (0 to 1) of a histogram in seconds, or zero if it has no samples.
// The error is at most the width of one bin (about 12%).
[[nodiscard]] double quantile_seconds(absl::string_view name, const metric_labels& labels,
                                      double quantile);

// Returns every metric in the Prometheus text format.
[[nodiscard]] std::string render_metrics();

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_METRICS_H_
