#include <gtest/gtest.h>

#include "sardinestream/base/http_server.h"
#include "sardinestream/testing/process.h"

namespace sardinestream::testing {
namespace {

std::unique_ptr<process> start_service(const temp_directory& logs, const address& at)
{
    return *process::start({.binary = "standin_service",
                            .flags = {"--listen=" + at.to_string()},
                            .log_directory = logs.path(),
                            .name = "service"});
}

bool answers(const address& at, int timeout_s = 60)
{
    httplib::Client client(at.ip, at.port);
    client.set_read_timeout(timeout_s);
    return static_cast<bool>(client.Get("/health"));
}

TEST(process_test, killed_process_comes_back_on_its_reserved_port)
{
    const temp_directory logs;
    const port_reservation port;
    const auto service = start_service(logs, port.reserved());
    EXPECT_EQ(*service->wait_until_listening(), port.reserved());
    service->kill();
    EXPECT_FALSE(answers(port.reserved()));
    ASSERT_TRUE(service->restart().ok());
    EXPECT_EQ(*service->wait_until_listening(), port.reserved());
    EXPECT_TRUE(answers(port.reserved()));
}

TEST(process_test, frozen_process_answers_once_it_is_woken)
{
    const temp_directory logs;
    const port_reservation port;
    const auto service = start_service(logs, port.reserved());
    ASSERT_TRUE(service->wait_until_listening().ok());
    service->freeze();
    EXPECT_FALSE(answers(port.reserved(), 1));
    service->wake();
    EXPECT_TRUE(answers(port.reserved()));
}

TEST(process_test, terminated_process_reports_its_signal)
{
    const temp_directory logs;
    const port_reservation port;
    const auto service = start_service(logs, port.reserved());
    ASSERT_TRUE(service->wait_until_listening().ok());
    service->terminate();
    EXPECT_EQ(service->wait_for_exit(), 128 + 15);
}

TEST(process_test, program_that_ends_at_once_is_an_error)
{
    const temp_directory logs;
    const auto broken = process::start({.binary = "standin_service",
                                        .flags = {"--listen=nowhere"},
                                        .log_directory = logs.path(),
                                        .name = "broken"});
    EXPECT_FALSE((*broken)->wait_until_listening().ok());
}

} // namespace
} // namespace sardinestream::testing
