// The platform's words that the emulators speak, spelt once more on purpose: an emulator that took
// them from the adapter could not show that the adapter has one wrong.

#ifndef SARDINESTREAM_TESTING_EMULATOR_WIRE_WORDS_H_
#define SARDINESTREAM_TESTING_EMULATOR_WIRE_WORDS_H_

namespace sardinestream::testing::words {

inline constexpr char objects_path[] = "/v1/objects/";
inline constexpr char servers_kind[] = "servers";
inline constexpr char config_kind[] = "config";
inline constexpr char config_name[] = "main";
inline constexpr char evacuations_kind[] = "evacuations";

inline constexpr char store_era[] = "Store-Era";

inline constexpr char report_path[] = "/v1/report";
inline constexpr char counts_path[] = "/v1/picked";
inline constexpr char order_path[] = "/v1/order";

inline constexpr char request_id[] = "X-Sardinestream-Request-Id";
inline constexpr char signature[] = "X-Sardinestream-Response-Signature";
inline constexpr char not_executed[] = "X-Sardinestream-Not-Executed";
inline constexpr char server_leaving[] = "Server-Leaving";
inline constexpr char server_limit[] = "Server-Limit";
inline constexpr char retry_after[] = "Retry-After";
inline constexpr char expected_server[] = "X-Sardinestream-Expect-Instance";
inline constexpr char team[] = "X-Sardinestream-Tenant";
inline constexpr char prompt_parts[] = "X-Sardinestream-Prompt-Prefix";
inline constexpr char time_left_ms[] = "X-Sardinestream-Deadline-Ms";
inline constexpr char last_event_id[] = "Last-Event-Id";
inline constexpr char authorization[] = "Authorization";
inline constexpr char key_scheme[] = "Token ";

} // namespace sardinestream::testing::words

#endif // SARDINESTREAM_TESTING_EMULATOR_WIRE_WORDS_H_
