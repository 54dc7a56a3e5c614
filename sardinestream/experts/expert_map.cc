#include "sardinestream/experts/expert_map.h"

#include <algorithm>
#include <memory>

#include <nlohmann/json.hpp>

#include "sardinestream/base/digest.h"
#include "sardinestream/base/error.h"
#include "sardinestream/wire/frame.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace sardinestream::experts {
namespace {

using nlohmann::json;

constexpr std::size_t digest_digits = 16;

absl::Status map_error(absl::string_view message)
{
    return make_error(absl::StatusCode::kInvalidArgument, "check_map", "", message);
}

} // namespace

expert_mapT make_uniform_map(std::uint32_t layers, std::uint32_t experts_per_layer,
                             std::uint32_t ranks)
{
    expert_mapT map;
    map.epoch = 1;
    map.layers = layers;
    map.experts_per_layer = experts_per_layer;
    map.ranks.reserve(static_cast<std::size_t>(layers) * experts_per_layer);
    for (std::uint32_t layer = 0; layer < layers; ++layer) {
        for (std::uint32_t expert = 0; expert < experts_per_layer; ++expert) {
            map.ranks.push_back(static_cast<std::uint16_t>(expert * ranks / experts_per_layer));
        }
    }
    return map;
}

absl::Status check_map(const expert_mapT& map, std::uint32_t ranks)
{
    if (map.layers == 0 || map.layers > max_layers || map.experts_per_layer == 0 ||
        map.experts_per_layer > max_experts_per_layer) {
        return map_error("layers or experts per layer out of range");
    }
    if (map.ranks.size() != static_cast<std::size_t>(map.layers) * map.experts_per_layer) {
        return map_error("placement does not have one rank for each expert");
    }
    const bool in_range = std::all_of(map.ranks.begin(), map.ranks.end(),
                                      [ranks](std::uint16_t rank) { return rank < ranks; });
    return in_range ? absl::OkStatus() : map_error("an expert is on a rank that does not exist");
}

std::string map_digest(const expert_mapT& map)
{
    const std::string header =
        absl::StrCat(map.epoch, "/", map.layers, "/", map.experts_per_layer, "/");
    const absl::string_view placement(reinterpret_cast<const char*>(map.ranks.data()),
                                      map.ranks.size() * sizeof(std::uint16_t));
    return sha256_hex(absl::StrCat(header, placement)).substr(0, digest_digits);
}

std::size_t count_moves(const expert_mapT& from, const expert_mapT& to)
{
    if (from.ranks.size() != to.ranks.size()) {
        return to.ranks.size();
    }
    std::size_t moves = 0;
    for (std::size_t i = 0; i < to.ranks.size(); ++i) {
        moves += from.ranks[i] != to.ranks[i] ? 1 : 0;
    }
    return moves;
}

std::string map_to_json(const expert_mapT& map)
{
    return json{{"epoch", map.epoch},
                {"layers", map.layers},
                {"experts_per_layer", map.experts_per_layer},
                {"ranks", map.ranks}}
        .dump();
}

absl::StatusOr<expert_mapT> map_from_json(absl::string_view text)
{
    const json parsed = json::parse(text.begin(), text.end(), nullptr, false);
    if (!parsed.is_object()) {
        return map_error("not a JSON object");
    }
    try {
        expert_mapT map;
        map.epoch = parsed.at("epoch").get<std::uint64_t>();
        map.layers = parsed.at("layers").get<std::uint32_t>();
        map.experts_per_layer = parsed.at("experts_per_layer").get<std::uint32_t>();
        map.ranks = parsed.at("ranks").get<std::vector<std::uint16_t>>();
        SARDINE_RETURN_IF_ERROR(check_map(map, max_ranks));
        return map;
    }
    catch (const json::exception&) {
        return map_error("a field is missing or has another type");
    }
}

std::string proposal_to_token(const map_proposalT& proposal)
{
    return absl::Base64Escape(wire::encode<map_proposal>(proposal));
}

absl::StatusOr<map_proposalT> proposal_from_token(absl::string_view token)
{
    std::string payload;
    if (!absl::Base64Unescape(token, &payload)) {
        return make_error(absl::StatusCode::kInvalidArgument, "read_token", "", "not base64");
    }
    absl::StatusOr<map_proposalT> proposal = wire::decode<map_proposal>(payload);
    if (proposal.ok() && proposal->map == nullptr) {
        return make_error(absl::StatusCode::kInvalidArgument, "read_token", "", "no map");
    }
    return proposal;
}

} // namespace sardinestream::experts
