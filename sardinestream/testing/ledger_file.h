// A ledger on disk: one line for each effect, so that it outlives the stand-in that wrote it.
//
//     ledger_file ledger(path);            // in the stand-in
//     ledger.append("order-7");
//     count_lines(path, "order-7");        // in the test
//
// Thread-safe; several processes may append to one file.

#ifndef SARDINESTREAM_TESTING_LEDGER_FILE_H_
#define SARDINESTREAM_TESTING_LEDGER_FILE_H_

#include <string>

#include "absl/strings/string_view.h"

namespace sardinestream::testing {

class ledger_file {
public:
    // The empty path records nothing.
    explicit ledger_file(const std::string& path);
    ~ledger_file();
    ledger_file(const ledger_file&) = delete;
    ledger_file& operator=(const ledger_file&) = delete;

    void append(absl::string_view line) const;

private:
    int descriptor = -1;
};

// Returns how many lines of the file are `line`; zero where there is no file.
[[nodiscard]] int count_lines(const std::string& path, absl::string_view line);

} // namespace sardinestream::testing

#endif // SARDINESTREAM_TESTING_LEDGER_FILE_H_
