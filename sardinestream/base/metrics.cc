#include "sardinestream/base/metrics.h"

#include <map>

#include <boost/histogram.hpp>

#include "absl/base/thread_annotations.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"

namespace sardinestream {
namespace {

namespace bh = boost::histogram;

constexpr int histogram_bins = 120;
constexpr double histogram_lowest_s = 0.0001;
constexpr double histogram_highest_s = 100.0;
constexpr int rendered_bins_step = 10;

using latency_axis = bh::axis::regular<double, bh::axis::transform::log>;
using latency_histogram = decltype(bh::make_histogram(
    latency_axis(histogram_bins, histogram_lowest_s, histogram_highest_s)));

// Name and labels in Prometheus text format.
using series_key = std::pair<std::string, std::string>;

struct latency_series {
    latency_histogram histogram =
        bh::make_histogram(latency_axis(histogram_bins, histogram_lowest_s, histogram_highest_s));
    double sum_s = 0;
    std::uint64_t samples = 0;
};

struct registry {
    absl::Mutex mutex;
    std::map<series_key, std::uint64_t> counters ABSL_GUARDED_BY(mutex);
    std::map<series_key, double> gauges ABSL_GUARDED_BY(mutex);
    std::map<series_key, latency_series> latencies ABSL_GUARDED_BY(mutex);
};

registry& the_registry()
{
    static registry* const instance = new registry();
    return *instance;
}

std::string escape_label(absl::string_view value)
{
    std::string escaped;
    for (const char c : value) {
        if (c == '\n') {
            escaped += "\\n";
            continue;
        }
        if (c == '\\' || c == '"') {
            escaped += '\\';
        }
        escaped += c;
    }
    return escaped;
}

series_key make_key(absl::string_view name, const metric_labels& labels)
{
    std::string text;
    for (const auto& [label, value] : labels) {
        absl::StrAppend(&text, text.empty() ? "" : ",", label, "=\"", escape_label(value), "\"");
    }
    return {std::string(name), text};
}

std::string braces(absl::string_view labels)
{
    return labels.empty() ? std::string() : absl::StrCat("{", labels, "}");
}

std::string with_label(absl::string_view labels, absl::string_view extra)
{
    return absl::StrCat("{", labels, labels.empty() ? "" : ",", extra, "}");
}

// Writes the `# TYPE` line once per metric name; series arrive sorted by name.
void append_type(std::string& text, std::string& last_name, const std::string& name,
                 absl::string_view type)
{
    if (last_name == name) {
        return;
    }
    absl::StrAppend(&text, "# TYPE ", name, " ", type, "\n");
    last_name = name;
}

void append_histogram(std::string& text, const series_key& key, const latency_series& series)
{
    const auto& [name, labels] = key;
    double cumulative = series.histogram.at(-1);
    for (int bin = 0; bin < histogram_bins; ++bin) {
        cumulative += series.histogram.at(bin);
        if ((bin + 1) % rendered_bins_step != 0) {
            continue;
        }
        const double upper_s = series.histogram.axis().bin(bin).upper();
        absl::StrAppend(&text, name, "_bucket",
                        with_label(labels, absl::StrCat("le=\"", upper_s, "\"")), " ", cumulative,
                        "\n");
    }
    absl::StrAppend(&text, name, "_bucket", with_label(labels, "le=\"+Inf\""), " ", series.samples,
                    "\n");
    absl::StrAppend(&text, name, "_sum", braces(labels), " ", series.sum_s, "\n");
    absl::StrAppend(&text, name, "_count", braces(labels), " ", series.samples, "\n");
}

} // namespace

void count(absl::string_view name, const metric_labels& labels, std::uint64_t amount)
{
    registry& all = the_registry();
    const series_key key = make_key(name, labels);
    const absl::MutexLock lock(&all.mutex);
    all.counters[key] += amount;
}

void set_gauge(absl::string_view name, const metric_labels& labels, double value)
{
    registry& all = the_registry();
    const series_key key = make_key(name, labels);
    const absl::MutexLock lock(&all.mutex);
    all.gauges[key] = value;
}

void set_gauges(absl::string_view name, const std::vector<std::pair<metric_labels, double>>& values)
{
    registry& all = the_registry();
    const absl::MutexLock lock(&all.mutex);
    std::erase_if(all.gauges, [&](const auto& series) { return series.first.first == name; });
    for (const auto& [labels, value] : values) {
        all.gauges[make_key(name, labels)] = value;
    }
}

void observe_seconds(absl::string_view name, const metric_labels& labels, double seconds)
{
    registry& all = the_registry();
    const series_key key = make_key(name, labels);
    const absl::MutexLock lock(&all.mutex);
    latency_series& series = all.latencies[key];
    series.histogram(seconds);
    series.sum_s += seconds;
    ++series.samples;
}

std::uint64_t counter_value(absl::string_view name, const metric_labels& labels)
{
    registry& all = the_registry();
    const absl::MutexLock lock(&all.mutex);
    auto found = all.counters.find(make_key(name, labels));
    return found == all.counters.end() ? 0 : found->second;
}

double quantile_seconds(absl::string_view name, const metric_labels& labels, double quantile)
{
    registry& all = the_registry();
    const absl::MutexLock lock(&all.mutex);
    auto found = all.latencies.find(make_key(name, labels));
    if (found == all.latencies.end() || found->second.samples == 0) {
        return 0;
    }
    const latency_histogram& histogram = found->second.histogram;
    const double wanted = quantile * static_cast<double>(found->second.samples);
    double cumulative = histogram.at(-1);
    for (int bin = 0; bin < histogram_bins; ++bin) {
        cumulative += histogram.at(bin);
        if (cumulative >= wanted) {
            return histogram.axis().bin(bin).upper();
        }
    }
    return histogram_highest_s;
}

std::string render_metrics()
{
    registry& all = the_registry();
    const absl::MutexLock lock(&all.mutex);
    std::string text;
    std::string last_name;
    for (const auto& [key, value] : all.counters) {
        append_type(text, last_name, key.first, "counter");
        absl::StrAppend(&text, key.first, braces(key.second), " ", value, "\n");
    }
    for (const auto& [key, value] : all.gauges) {
        append_type(text, last_name, key.first, "gauge");
        absl::StrAppend(&text, key.first, braces(key.second), " ", value, "\n");
    }
    for (const auto& [key, series] : all.latencies) {
        append_type(text, last_name, key.first, "histogram");
        append_histogram(text, key, series);
    }
    return text;
}

} // namespace sardinestream
