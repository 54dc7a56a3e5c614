#include "sardinestream/testing/ledger_file.h"

#include <fstream>

#include <fcntl.h>
#include <unistd.h>

#include "absl/strings/str_cat.h"

namespace sardinestream::testing {

ledger_file::ledger_file(const std::string& path)
{
    constexpr int file_mode = 0644;
    if (!path.empty()) {
        this->descriptor = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, file_mode);
    }
}

ledger_file::~ledger_file()
{
    if (this->descriptor >= 0) {
        close(this->descriptor);
    }
}

void ledger_file::append(absl::string_view line) const
{
    if (this->descriptor < 0) {
        return;
    }
    // One write, so that lines of several writers never mix.
    const std::string text = absl::StrCat(line, "\n");
    static_cast<void>(write(this->descriptor, text.data(), text.size()));
}

int count_lines(const std::string& path, absl::string_view line)
{
    std::ifstream file(path);
    int count = 0;
    for (std::string each; std::getline(file, each);) {
        count += each == line ? 1 : 0;
    }
    return count;
}

} // namespace sardinestream::testing
