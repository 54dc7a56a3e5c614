// Tells valid status codes of HTTP responses from invalid ones. A response with an invalid one is
// no answer: the call has failed, and it is not known whether the request ran.

#ifndef SARDINESTREAM_BASE_HTTP_STATUS_H_
#define SARDINESTREAM_BASE_HTTP_STATUS_H_

namespace sardinestream {

// Returns whether the status is that of a final response.
[[nodiscard]] constexpr bool is_final_status(int status)
{
    constexpr int first = 200;
    constexpr int last = 599;
    return status >= first && status <= last;
}

// Returns whether the status is that of an interim response, which a final one follows. 101 is
// none: no upgrade is ever asked for.
[[nodiscard]] constexpr bool is_interim_status(int status)
{
    constexpr int first = 100;
    constexpr int switching_protocols = 101;
    constexpr int last = 199;
    return status >= first && status <= last && status != switching_protocols;
}

} // namespace sardinestream

#endif // SARDINESTREAM_BASE_HTTP_STATUS_H_
