#include "sardinestream/base/process_exit.h"

#include <cstdlib>

#include "sardinestream/base/log.h"

namespace sardinestream {

void exit_process(int status)
{
    finish_logging(max_exit_log_wait);
    std::_Exit(status);
}

} // namespace sardinestream
