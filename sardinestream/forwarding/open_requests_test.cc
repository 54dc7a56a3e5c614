#include <gtest/gtest.h>

#include "sardinestream/forwarding/open_requests.h"

namespace sardinestream {
namespace {

TEST(open_requests_test, lists_what_is_registered_with_its_phase)
{
    open_requests open;
    open_requests::registration first(open, {"r1", "till", {}});
    {
        const open_requests::registration second(open, {"r2", "till", {}});
        EXPECT_EQ(open.size(), 2U);
    }
    first.set_phase(request_phase::answering);
    ASSERT_EQ(open.list().size(), 1U);
    EXPECT_EQ(open.list()[0].id, "r1");
    EXPECT_EQ(name_of(open.list()[0].phase), "answering");
}

} // namespace
} // namespace sardinestream
