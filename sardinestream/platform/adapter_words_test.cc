// Checks that names of the platform's wire format occur only in the platform adapter.

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace sardinestream::platform {
namespace {

namespace fs = std::filesystem;

std::string read_file(const fs::path& path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

bool is_product_source(const fs::path& path)
{
    const std::string text = path.string();
    const bool source = path.extension() == ".cc" || path.extension() == ".h";
    return source && text.find("/platform/") == std::string::npos &&
           text.find("/testing/") == std::string::npos &&
           text.find("_test.cc") == std::string::npos;
}

TEST(adapter_words, occur_only_in_the_adapter)
{
    const std::vector<std::string> words = {"X-Sardinestream-",     "api-keys",    "path-prefix",
                                            "traffic-split",        "/v1/objects", "/v1/picked",
                                            "heartbeat-interval-ms"};
    for (const fs::directory_entry& file : fs::recursive_directory_iterator(SARDINE_SOURCE_DIR)) {
        if (!is_product_source(file.path())) {
            continue;
        }
        const std::string text = read_file(file.path());
        for (const std::string& word : words) {
            EXPECT_EQ(text.find(word), std::string::npos) << file.path() << ": " << word;
        }
    }
}

} // namespace
} // namespace sardinestream::platform
