// Defines the platform's names for headers, paths and kinds of objects, so that they are written in
// one place only.

#ifndef SARDINESTREAM_PLATFORM_WIRE_NAMES_H_
#define SARDINESTREAM_PLATFORM_WIRE_NAMES_H_

namespace sardinestream::platform::wire {

// Headers.
inline constexpr char request_id[] = "X-Sardinestream-Request-Id";
inline constexpr char deadline_ms[] = "X-Sardinestream-Deadline-Ms";
inline constexpr char last_event_id[] = "Last-Event-Id";
inline constexpr char signature[] = "X-Sardinestream-Response-Signature";
inline constexpr char team[] = "X-Sardinestream-Tenant";
inline constexpr char expected_server[] = "X-Sardinestream-Expect-Instance";
inline constexpr char expected_version[] = "X-Sardinestream-Expect-Version";
inline constexpr char instance_id[] = "X-Sardinestream-Instance-Id";
inline constexpr char not_executed[] = "X-Sardinestream-Not-Executed";
inline constexpr char server_leaving[] = "Server-Leaving";
inline constexpr char server_limit[] = "Server-Limit";
inline constexpr char retry_after[] = "Retry-After";
inline constexpr char token_counts[] = "X-Sardinestream-Token-Counts";
inline constexpr char length_hint[] = "X-Sardinestream-Length-Hint";
inline constexpr char prompt_parts[] = "X-Sardinestream-Prompt-Prefix";
// Rises by one each time the store is restored from an older copy.
inline constexpr char store_era[] = "Store-Era";
inline constexpr char authorization[] = "Authorization";
inline constexpr char key_scheme[] = "Token ";

// Paths.
inline constexpr char objects_path[] = "/v1/objects/";
inline constexpr char report_path[] = "/v1/report";
// Reports how often this rank's requests selected each expert.
inline constexpr char expert_counts_path[] = "/v1/picked";
inline constexpr char order_path[] = "/v1/order";

// Kinds of objects in the store.
inline constexpr char servers_kind[] = "servers";
inline constexpr char config_kind[] = "config";
inline constexpr char config_name[] = "main";
// Each object is named after the data centre.
inline constexpr char evacuations_kind[] = "evacuations";

// The variable that holds the path of the settings file.
inline constexpr char settings_variable[] = "SARDINESTREAM_SETTINGS";

} // namespace sardinestream::platform::wire

#endif // SARDINESTREAM_PLATFORM_WIRE_NAMES_H_
