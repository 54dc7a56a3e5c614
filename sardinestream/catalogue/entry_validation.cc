#include "sardinestream/catalogue/entry_validation.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace sardinestream::catalogue {
namespace {

using nlohmann::json;

constexpr std::size_t max_owner_bytes = 64;
constexpr std::size_t max_service_bytes = 128;
constexpr std::size_t max_key_digests = 16;
constexpr std::size_t max_adapters = 64;
constexpr std::size_t max_engine_name_bytes = 128;
constexpr std::size_t digest_digits = 64;
constexpr double max_weight = 1000;

template <typename Value>
struct named_value {
    Value value;
    absl::string_view name;
};

constexpr std::array<named_value<work_class>, 2> work_names = {{
    {work_class::model, "model"},
    {work_class::plain, "plain"},
}};

constexpr std::array<named_value<repeat_rule>, 3> repeat_names = {{
    {repeat_rule::all, "all"},
    {repeat_rule::reads_only, "reads_only"},
    {repeat_rule::none, "none"},
}};

constexpr std::array<named_value<priority_class>, 3> priority_names = {{
    {priority_class::reserved, "reserved"},
    {priority_class::interactive, "interactive"},
    {priority_class::batch, "batch"},
}};

constexpr std::array<named_value<entry_code>, 11> code_names = {{
    {entry_code::none, "none"},
    {entry_code::not_an_object, "not_an_object"},
    {entry_code::unknown_field, "unknown_field"},
    {entry_code::missing_field, "missing_field"},
    {entry_code::wrong_type, "wrong_type"},
    {entry_code::out_of_range, "out_of_range"},
    {entry_code::not_in_set, "not_in_set"},
    {entry_code::bad_format, "bad_format"},
    {entry_code::duplicate_key, "duplicate_key"},
    {entry_code::too_large, "too_large"},
    {entry_code::catalogue_full, "catalogue_full"},
}};

struct limit_field {
    const char* name;
    std::uint32_t entry_limits::*member;
    std::uint32_t maximum;
};

constexpr std::array limit_fields = {
    limit_field{"max_in_flight", &entry_limits::max_in_flight, 100000},
    limit_field{"requests_per_s", &entry_limits::requests_per_s, 1000000},
    limit_field{"max_body_bytes", &entry_limits::max_body_bytes, 8U << 20},
    limit_field{"max_tokens", &entry_limits::max_tokens, 1000000},
    limit_field{"max_deadline_ms", &entry_limits::max_deadline_ms, 3600000},
};

constexpr std::array<absl::string_view, 10> entry_fields = {
    "owner",       "service",     "work_class",
    "repeat",      "priority",    "limits",
    "key_digests", "skew_weight", "rebalance_cost_weight",
    "engine",
};

constexpr std::array<absl::string_view, 3> engine_roles = {"mixed", "prefill", "decode"};

template <typename Value, std::size_t Size>
absl::string_view name_of(const std::array<named_value<Value>, Size>& names, Value value)
{
    for (const auto& one : names) {
        if (one.value == value) {
            return one.name;
        }
    }
    return "";
}

template <typename Value, std::size_t Size>
std::string set_of(const std::array<named_value<Value>, Size>& names)
{
    return absl::StrJoin(names, "|", [](std::string* text, const named_value<Value>& one) {
        absl::StrAppend(text, one.name);
    });
}

bool is_service_byte(char c)
{
    return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '.' || c == '_' || c == '-';
}

// Reads the fields of one entry and records the first refusal.
class entry_reader {
public:
    entry_reader(const json& entry_spec, unknown_fields unknown_rule)
        : spec(entry_spec), unknown(unknown_rule)
    {
    }

    [[nodiscard]] const std::optional<entry_refusal>& refusal() const { return this->refused; }

    void refuse(entry_code code, absl::string_view field, absl::string_view allowed)
    {
        if (!this->refused.has_value()) {
            this->refused = {code, std::string(field), std::string(allowed), ""};
        }
    }

    void check_names(const json& object, absl::string_view prefix,
                     const std::vector<absl::string_view>& known)
    {
        if (this->unknown == unknown_fields::ignore) {
            return;
        }
        for (const auto& [name, value] : object.items()) {
            if (std::find(known.begin(), known.end(), name) == known.end()) {
                this->refuse(entry_code::unknown_field, absl::StrCat(prefix, name),
                             absl::StrJoin(known, "|"));
            }
        }
    }

    // Reads a string of 1 to `maximum` bytes, each of which must satisfy `permits`. `pattern`
    // describes the permitted bytes in a refusal.
    void read_text(const char* field, std::size_t maximum, absl::string_view pattern,
                   bool (*permits)(char), std::string& target)
    {
        const json* value = this->find_required(field);
        if (value == nullptr) {
            return;
        }
        if (!value->is_string()) {
            return this->refuse(entry_code::wrong_type, field, "string");
        }
        target = value->get<std::string>();
        if (target.empty() || target.size() > maximum ||
            !std::all_of(target.begin(), target.end(), permits)) {
            this->refuse(entry_code::bad_format, field,
                         absl::StrCat(pattern, "{1..", maximum, "}"));
        }
    }

    template <typename Value, std::size_t Size>
    void read_choice(const char* field, const std::array<named_value<Value>, Size>& names,
                     bool required, Value& target)
    {
        const json* value = required ? this->find_required(field) : this->find(this->spec, field);
        if (value == nullptr) {
            return;
        }
        for (const auto& one : names) {
            if (*value == std::string(one.name)) {
                target = one.value;
                return;
            }
        }
        this->refuse(value->is_string() ? entry_code::not_in_set : entry_code::wrong_type, field,
                     set_of(names));
    }

    void read_weight(const char* field, double& target)
    {
        const json* value = this->find(this->spec, field);
        if (value == nullptr) {
            return;
        }
        if (!value->is_number()) {
            return this->refuse(entry_code::wrong_type, field, "number");
        }
        target = value->get<double>();
        if (!(target >= 0 && target <= max_weight)) {
            this->refuse(entry_code::out_of_range, field, absl::StrCat("0..", max_weight));
        }
    }

    void read_limits(entry_limits& target)
    {
        const json* limits = this->find(this->spec, "limits");
        if (limits == nullptr) {
            return;
        }
        if (!limits->is_object()) {
            return this->refuse(entry_code::wrong_type, "limits", "object");
        }
        std::vector<absl::string_view> known;
        for (const limit_field& field : limit_fields) {
            known.emplace_back(field.name);
            this->read_limit(*limits, field, target.*field.member);
        }
        this->check_names(*limits, "limits.", known);
    }

    void read_key_digests(std::vector<std::string>& target)
    {
        const json* digests = this->find_required("key_digests");
        if (digests == nullptr) {
            return;
        }
        if (!digests->is_array()) {
            return this->refuse(entry_code::wrong_type, "key_digests", "array");
        }
        if (digests->empty() || digests->size() > max_key_digests) {
            return this->refuse(entry_code::out_of_range, "key_digests.length",
                                absl::StrCat("1..", max_key_digests));
        }
        for (std::size_t i = 0; i < digests->size(); ++i) {
            this->read_key_digest((*digests)[i], absl::StrCat("key_digests[", i, "]"), target);
        }
    }

    void read_engine(catalogue_entry& target)
    {
        const json* engine = this->find(this->spec, "engine");
        if (engine == nullptr) {
            return;
        }
        if (!engine->is_object()) {
            return this->refuse(entry_code::wrong_type, "engine", "object");
        }
        if (target.work != work_class::model) {
            return this->refuse(entry_code::not_in_set, "work_class", "model");
        }
        this->check_names(*engine, "engine.", {"version", "adapters", "role"});
        engine_target wanted;
        this->read_engine_name(engine->value("version", json()), "engine.version", wanted.version);
        const json adapters = engine->value("adapters", json::array());
        if (!adapters.is_array() || adapters.size() > max_adapters) {
            return this->refuse(entry_code::out_of_range, "engine.adapters.length",
                                absl::StrCat("0..", max_adapters));
        }
        for (std::size_t i = 0; i < adapters.size(); ++i) {
            this->read_engine_name(adapters[i], absl::StrCat("engine.adapters[", i, "]"),
                                   wanted.adapters.emplace_back());
        }
        const json role = engine->value("role", json("mixed"));
        if (!role.is_string() || std::find(engine_roles.begin(), engine_roles.end(),
                                           role.get<std::string>()) == engine_roles.end()) {
            return this->refuse(entry_code::not_in_set, "engine.role",
                                absl::StrJoin(engine_roles, "|"));
        }
        wanted.role = role.get<std::string>();
        target.engine = std::move(wanted);
    }

private:
    void read_engine_name(const json& value, const std::string& path, std::string& target)
    {
        if (!value.is_string()) {
            return this->refuse(value.is_null() ? entry_code::missing_field
                                                : entry_code::wrong_type,
                                path, "string");
        }
        target = value.get<std::string>();
        if (target.empty() || target.size() > max_engine_name_bytes ||
            !std::all_of(target.begin(), target.end(), is_service_byte)) {
            this->refuse(entry_code::bad_format, path,
                         absl::StrCat("[0-9A-Za-z._-]{1..", max_engine_name_bytes, "}"));
        }
    }

    static const json* find(const json& object, const char* field)
    {
        auto found = object.find(field);
        return found == object.end() ? nullptr : &*found;
    }

    const json* find_required(const char* field)
    {
        const json* found = find(this->spec, field);
        if (found == nullptr) {
            this->refuse(entry_code::missing_field, field, "");
        }
        return found;
    }

    void read_limit(const json& limits, const limit_field& field, std::uint32_t& target)
    {
        const json* value = find(limits, field.name);
        if (value == nullptr) {
            return;
        }
        const std::string path = absl::StrCat("limits.", field.name);
        const std::string allowed = absl::StrCat("1..", field.maximum);
        if (!value->is_number_integer()) {
            return this->refuse(entry_code::wrong_type, path, "integer");
        }
        const bool in_range = value->is_number_unsigned() && value->get<std::uint64_t>() >= 1 &&
                              value->get<std::uint64_t>() <= field.maximum;
        if (!in_range) {
            return this->refuse(entry_code::out_of_range, path, allowed);
        }
        target = value->get<std::uint32_t>();
    }

    void read_key_digest(const json& value, const std::string& path,
                         std::vector<std::string>& target)
    {
        if (!value.is_string()) {
            return this->refuse(entry_code::wrong_type, path, "string");
        }
        auto digest = value.get<std::string>();
        const auto is_digit = [](char c) {
            return absl::ascii_isdigit(static_cast<unsigned char>(c)) || (c >= 'a' && c <= 'f');
        };
        if (digest.size() != digest_digits ||
            !std::all_of(digest.begin(), digest.end(), is_digit)) {
            return this->refuse(entry_code::bad_format, path,
                                absl::StrCat("[0-9a-f]{", digest_digits, "}"));
        }
        if (std::find(target.begin(), target.end(), digest) != target.end()) {
            return this->refuse(entry_code::duplicate_key, path, "");
        }
        target.push_back(std::move(digest));
    }

    const json& spec;
    const unknown_fields unknown;
    std::optional<entry_refusal> refused;
};

// Owner names may be in any script, but must not contain control characters.
bool is_owner_byte(char c)
{
    return !absl::ascii_iscntrl(static_cast<unsigned char>(c));
}

} // namespace

entry_verdict validate_entry(absl::string_view name, absl::string_view spec, unknown_fields unknown)
{
    if (spec.size() > max_entry_bytes) {
        return entry_refusal{entry_code::too_large, "", absl::StrCat("1..", max_entry_bytes), ""};
    }
    const json parsed = json::parse(spec.begin(), spec.end(), nullptr, false);
    if (!parsed.is_object()) {
        return entry_refusal{entry_code::not_an_object, "", "object", ""};
    }
    entry_reader reader(parsed, unknown);
    catalogue_entry entry;
    entry.name = std::string(name);
    reader.check_names(parsed, "", {entry_fields.begin(), entry_fields.end()});
    reader.read_text("owner", max_owner_bytes, "[^\\x00-\\x1f\\x7f]", is_owner_byte, entry.owner);
    reader.read_text("service", max_service_bytes, "[0-9A-Za-z._-]", is_service_byte,
                     entry.service);
    reader.read_choice("work_class", work_names, true, entry.work);
    reader.read_choice("repeat", repeat_names, true, entry.repeat);
    reader.read_choice("priority", priority_names, false, entry.priority);
    reader.read_limits(entry.limits);
    reader.read_key_digests(entry.key_digests);
    reader.read_weight("skew_weight", entry.skew_weight);
    reader.read_weight("rebalance_cost_weight", entry.rebalance_cost_weight);
    reader.read_engine(entry);
    if (reader.refusal().has_value()) {
        return *reader.refusal();
    }
    return entry;
}

absl::string_view to_string(entry_code code)
{
    return name_of(code_names, code);
}

entry_code entry_code_from(absl::string_view name)
{
    for (const auto& one : code_names) {
        if (one.name == name) {
            return one.value;
        }
    }
    return entry_code::none;
}

absl::string_view to_string(work_class work)
{
    return name_of(work_names, work);
}

absl::string_view to_string(repeat_rule repeat)
{
    return name_of(repeat_names, repeat);
}

absl::string_view to_string(priority_class priority)
{
    return name_of(priority_names, priority);
}

} // namespace sardinestream::catalogue
