// The faults of the matrix, by name, and how each is injected at a step.
//
//     fault_injection injection(fleet, points, "kill_back+store_outage", marker);
//     ... run the exchange ...
//     injection.wait_until_fired();
//
// Names: kill_front, kill_back (before the message is passed on), kill_back_after, freeze_front,
// freeze_back, cut_before, cut_after, black_hole, delay, lost_answer, store_outage, store_slow,
// stale_list, resend (the runner sends again through another entry), none; pairs are joined by "+".
// Front and back are the processes at the two ends of the link at which the step is seen.

#ifndef SARDINESTREAM_TESTING_MATRIX_FAULTS_H_
#define SARDINESTREAM_TESTING_MATRIX_FAULTS_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "sardinestream/testing/fleet.h"

namespace sardinestream::testing {

// One link on which the step may be seen.
struct injection_point {
    fault_proxy* proxy = nullptr;
    message_pattern at;
    int nth = 1;
    process* front = nullptr; // null where it is no process of the fleet
    process* back = nullptr;
};

// True where the fault's name has this part.
[[nodiscard]] bool has_part(const std::string& fault, absl::string_view part);

// A fault that is armed at every point and fires once between them.
class fault_injection {
public:
    fault_injection(fleet& target, const std::vector<injection_point>& points,
                    const std::string& fault);

    [[nodiscard]] bool fired() const;

    // Waits until the fault has fired or `or_else` holds; returns whether it has fired.
    [[nodiscard]] bool wait_until_fired(const std::function<bool()>& or_else) const;

private:
    // The message has come; the fault may still be on its way.
    [[nodiscard]] bool has_fired() const;

    std::vector<std::shared_ptr<armed_rule>> rules;
};

// The faults that suit every step of a request, single ones first and then pairs.
[[nodiscard]] const std::vector<std::string>& request_faults();

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_MATRIX_FAULTS_H_
