// Renders the catalogue in force on this process and the last decisions, as JSON and as HTML. The
// pages hold only codes, numbers and times, so that operators can read them in any language.
//
//     server.Get("/status", [&](const httplib::Request& request, httplib::Response& response) {
//         response.set_content(status_json(service.state(), service.ready(),
//                                          {.owner = request.get_param_value("owner")}),
//                              "application/json");
//     });
//     server.Get("/", ... status_html(...), "text/html; charset=utf-8");
//
// For each entry, both show the version in force with its content and the number and time at which
// it came into force, and the last refused version with code, field and allowed values. Key digests
// are shortened. The functions only read the state; thread-safe.

#ifndef SARDINESTREAM_CATALOGUE_STATUS_PAGE_H_
#define SARDINESTREAM_CATALOGUE_STATUS_PAGE_H_

#include <string>

#include "sardinestream/catalogue/catalogue_state.h"

namespace sardinestream::catalogue {

// Which entries to show; an empty field matches all.
struct status_filter {
    std::string owner;
    std::string entry;
};

[[nodiscard]] std::string status_json(const catalogue_state& state, bool ready,
                                      const status_filter& filter = {});

[[nodiscard]] std::string status_html(const catalogue_state& state, bool ready,
                                      const status_filter& filter = {});

} // namespace sardinestream::catalogue

#endif // SARDINESTREAM_CATALOGUE_STATUS_PAGE_H_
