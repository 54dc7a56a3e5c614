#include "sardinestream/base/settings.h"

#include <cstdio>
#include <cstdlib>

#include <arpa/inet.h>
#include <gflags/gflags.h>

#include "sardinestream/base/error.h"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace sardinestream {
namespace {

constexpr int highest_port = 65535;
constexpr std::size_t min_key_bytes = 16;
constexpr char environment_prefix[] = "SARDINE_";

std::string environment_name(absl::string_view flag)
{
    return absl::StrCat(environment_prefix, absl::AsciiStrToUpper(flag));
}

bool wants_help()
{
    std::string value;
    return gflags::GetCommandLineOption("help", &value) && value == "true";
}

// Prints the binary's own flags, without those of the libraries.
void print_help(const std::vector<std::string>& flag_names)
{
    std::printf("%s: %s\n\n", gflags::ProgramInvocationShortName(), gflags::ProgramUsage());
    for (const std::string& name : flag_names) {
        const gflags::CommandLineFlagInfo info = gflags::GetCommandLineFlagInfoOrDie(name.c_str());
        std::printf("  --%s=%s  (%s)\n      %s\n", name.c_str(), info.default_value.c_str(),
                    environment_name(name).c_str(), info.description.c_str());
    }
    std::printf("  --check\n      Checks the settings, prints nothing if they are valid, and "
                "exits\n");
}

} // namespace

std::string address::to_string() const
{
    return absl::StrCat(this->ip, ":", this->port);
}

absl::StatusOr<address> parse_address(absl::string_view text)
{
    const std::vector<std::string> parts = absl::StrSplit(text, ':');
    address parsed;
    in_addr ignored{};
    if (parts.size() != 2 || inet_pton(AF_INET, parts[0].c_str(), &ignored) != 1 ||
        !absl::SimpleAtoi(parts[1], &parsed.port) || parsed.port < 0 ||
        parsed.port > highest_port) {
        return make_error(absl::StatusCode::kInvalidArgument, "parse_address", text,
                          "not an address of the form IP:PORT");
    }
    parsed.ip = parts[0];
    return parsed;
}

absl::StatusOr<std::vector<address>> parse_addresses(absl::string_view text)
{
    std::vector<address> addresses;
    for (absl::string_view part : absl::StrSplit(text, ',', absl::SkipWhitespace())) {
        absl::StatusOr<address> parsed = parse_address(absl::StripAsciiWhitespace(part));
        if (!parsed.ok()) {
            return parsed.status();
        }
        addresses.push_back(*std::move(parsed));
    }
    return addresses;
}

absl::Status load_settings(int* argc, char*** argv, const std::vector<std::string>& flag_names)
{
    gflags::ParseCommandLineNonHelpFlags(argc, argv, true);
    if (wants_help()) {
        print_help(flag_names);
        std::exit(0);
    }
    gflags::HandleCommandLineHelpFlags();
    for (const std::string& name : flag_names) {
        const char* value = std::getenv(environment_name(name).c_str());
        const gflags::CommandLineFlagInfo info = gflags::GetCommandLineFlagInfoOrDie(name.c_str());
        if (value == nullptr || !info.is_default) {
            continue;
        }
        if (gflags::SetCommandLineOption(name.c_str(), value).empty()) {
            return setting_error(name, value, absl::StrCat("a value of type ", info.type));
        }
    }
    return absl::OkStatus();
}

absl::Status setting_error(absl::string_view flag, absl::string_view value,
                           absl::string_view allowed)
{
    return make_error(absl::StatusCode::kInvalidArgument, "check_settings", flag,
                      absl::StrCat("--", flag, "=", value, ": allowed is ", allowed));
}

absl::Status check_range(absl::string_view flag, std::int64_t value, std::int64_t minimum,
                         std::int64_t maximum)
{
    if (value >= minimum && value <= maximum) {
        return absl::OkStatus();
    }
    return setting_error(flag, absl::StrCat(value), absl::StrCat(minimum, " to ", maximum));
}

absl::Status check_present(absl::string_view flag, absl::string_view value)
{
    return value.empty() ? setting_error(flag, "", "any text but the empty one") : absl::OkStatus();
}

absl::Status check_fleet_key(absl::string_view flag, absl::string_view value)
{
    return value.size() >= min_key_bytes
               ? absl::OkStatus()
               : setting_error(flag, "(hidden)", absl::StrCat(min_key_bytes, " bytes or more"));
}

absl::Status check_address(absl::string_view flag, absl::string_view value)
{
    return parse_address(value).ok() ? absl::OkStatus() : setting_error(flag, value, "IP:PORT");
}

} // namespace sardinestream
