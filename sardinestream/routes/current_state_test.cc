#include <gtest/gtest.h>

#include "sardinestream/routes/current_state.h"

#include "absl/strings/numbers.h"

namespace sardinestream {
namespace {

// Reads a document that holds nothing but its version.
absl::StatusOr<std::shared_ptr<const desired_state>> decode_version(absl::string_view text)
{
    auto state = std::make_shared<desired_state>();
    if (!absl::SimpleAtoi(text, &state->version)) {
        return absl::InvalidArgumentError("no version");
    }
    return state;
}

class current_state_test : public testing::Test {
protected:
    [[nodiscard]] std::int64_t version() const { return this->state.get()->version; }

    current_state state{decode_version};
};

TEST_F(current_state_test, a_newer_version_takes_effect_at_a_revision_that_is_given_out_again)
{
    this->state.offer("14", 40, "store");
    EXPECT_TRUE(this->state.offer("16", 40, "store"));
    EXPECT_TRUE(this->state.offer("17", 39, "store"));
    EXPECT_EQ(this->version(), 17);
}

TEST_F(current_state_test, an_older_version_undoes_nothing_whatever_its_revision)
{
    this->state.offer("14", 40, "store");
    EXPECT_FALSE(this->state.offer("10", 39, "store"));
    EXPECT_FALSE(this->state.offer("10", 90, "store"));
    EXPECT_EQ(this->version(), 14);
}

TEST_F(current_state_test, of_two_documents_with_one_version_the_later_revision_is_in_force)
{
    this->state.offer("14", 40, "store");
    EXPECT_FALSE(this->state.offer("014", 39, "store"));
    EXPECT_TRUE(this->state.offer("+14", 41, "store"));
    EXPECT_EQ(this->state.document().text, "+14");
}

TEST_F(current_state_test, a_document_written_again_keeps_its_new_revision)
{
    this->state.offer("14", 40, "store");
    EXPECT_FALSE(this->state.offer("14", 39, "store"));
    EXPECT_EQ(this->state.document().revision, 39);
}

TEST_F(current_state_test, an_unreadable_document_changes_nothing)
{
    this->state.offer("14", 40, "store");
    EXPECT_FALSE(this->state.offer("?", 41, "store"));
    EXPECT_EQ(this->version(), 14);
    EXPECT_EQ(this->state.document().text, "14");
}

} // namespace
} // namespace sardinestream
