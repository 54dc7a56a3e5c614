#include "sardinestream/once/ticket.h"

#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "sardinestream/base/digest.h"
#include "sardinestream/base/error.h"
#include "sardinestream/once/request_key.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace sardinestream::once {
namespace {

using nlohmann::json;

constexpr absl::string_view key_purpose = "sardinestream ticket 1";
constexpr std::size_t max_token_bytes = 2048;

std::optional<ticket> parse_payload(const std::string& text)
{
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        return std::nullopt;
    }
    ticket content;
    absl::StatusOr<address> parsed_address = parse_address(parsed.value("address", std::string()));
    if (parsed_address.ok()) {
        content.agent_address = *parsed_address;
    }
    content.agent = parsed.value("agent", std::string());
    content.incarnation = parsed.value("incarnation", std::uint64_t{0});
    content.team = parsed.value("team", std::string());
    content.service = parsed.value("service", std::string());
    content.random = parsed.value("random", std::string());
    content.expiry = absl::FromUnixSeconds(parsed.value("expiry", std::int64_t{0}));
    return content;
}

} // namespace

digest128 ticket::key() const
{
    return digest_of_ticket_key(this->team, this->service, this->random);
}

absl::string_view to_string(ticket_error error)
{
    switch (error) {
    case ticket_error::none:
        return "none";
    case ticket_error::expired:
        return "expired";
    case ticket_error::other_team:
        return "other_team";
    case ticket_error::other_service:
        return "other_service";
    case ticket_error::forged:
        break;
    }
    return "forged";
}

absl::StatusOr<ticket_signer> ticket_signer::create(absl::string_view fleet_key)
{
    if (fleet_key.empty()) {
        return make_error(absl::StatusCode::kInvalidArgument, "create_ticket_signer", "",
                          "the fleet key is empty");
    }
    return ticket_signer(hmac_sha256_hex(fleet_key, key_purpose));
}

std::string ticket_signer::sign(absl::string_view payload) const
{
    return hmac_sha256_hex(this->key, payload);
}

std::string ticket_signer::issue(const ticket& content) const
{
    const json payload = {{"agent", content.agent},
                          {"incarnation", content.incarnation},
                          {"address", content.agent_address.to_string()},
                          {"team", content.team},
                          {"service", content.service},
                          {"random", content.random},
                          {"expiry", absl::ToUnixSeconds(content.expiry)}};
    const std::string encoded = absl::WebSafeBase64Escape(payload.dump());
    return absl::StrCat(encoded, ".", this->sign(encoded));
}

ticket_check ticket_signer::verify(absl::string_view token, absl::string_view team,
                                   absl::string_view service, absl::Time now) const
{
    const std::size_t dot = token.find('.');
    if (token.size() > max_token_bytes || dot == absl::string_view::npos) {
        return {};
    }
    const absl::string_view encoded = token.substr(0, dot);
    if (!equal_constant_time(token.substr(dot + 1), this->sign(encoded))) {
        return {};
    }
    std::string payload;
    if (!absl::WebSafeBase64Unescape(encoded, &payload)) {
        return {};
    }
    std::optional<ticket> content = parse_payload(payload);
    if (!content.has_value()) {
        return {};
    }
    ticket_check checked{ticket_error::none, *std::move(content)};
    if (checked.content.team != team) {
        checked.error = ticket_error::other_team;
    }
    else if (checked.content.service != service) {
        checked.error = ticket_error::other_service;
    }
    else if (checked.content.expiry <= now) {
        checked.error = ticket_error::expired;
    }
    return checked;
}

} // namespace sardinestream::once
