// Stand-in for a plain service, such as a booking service, in tests (docs/STAND_INS.md).

#include "stand_ins/run.hpp"
#include "stand_ins/target_control.hpp"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>
#include <utility>

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace stand_ins = chicorylink::stand_ins;

namespace {

/// The state shared by all connections.
struct service_state {
    stand_ins::target_control control;
    std::size_t slots = 16;
    std::chrono::milliseconds work_time{0};
    std::atomic<std::size_t> running{0};
};

stand_ins::http_response load_report(const service_state& service)
{
    return stand_ins::json_response(200, {{"running", service.running.load()},
                                          {"waiting", 0},
                                          {"slots", service.slots},
                                          {"leaving", service.control.leaving()},
                                          {"age_ms", 0}});
}

/// Runs one call and responds with the number of runs of its body.
stand_ins::http_response run_call(service_state& service, const stand_ins::http_request& request)
{
    std::this_thread::sleep_for(service.work_time);
    const auto runs = service.control.count_run(request);
    auto query = nlohmann::json::array();
    for (const auto& [name, value] : request.query) {
        query.push_back({name, value});
    }
    return stand_ins::json_response(200, {{"method", request.method},
                                          {"path", request.path},
                                          {"query", query},
                                          {"body_size", request.body.size()},
                                          {"runs", runs}});
}

stand_ins::http_response handle_call(service_state& service, const stand_ins::http_request& request)
{
    const auto faults = service.control.receive(request);
    std::this_thread::sleep_for(faults.delay);
    stand_ins::http_response response;
    const bool fails = faults.status != 0 || faults.drop;
    if (!fails || faults.run) {
        response = run_call(service, request);
    }
    if (faults.status != 0) {
        response = stand_ins::error_response(faults.status, "fault of the test");
    }
    response.drop = faults.drop;
    response.truncate_after = faults.close_after;
    if (const auto id = request.header("X-Request-Id"); !id.empty()) {
        response.headers.emplace_back("X-Request-Id", faults.wrong_request_id ? "0-0" : id);
    }
    response.headers.emplace_back("X-Load", fmt::format("running={};waiting=0;slots={}",
                                                        service.running.load(), service.slots));
    return response;
}

stand_ins::http_response respond(service_state& service, const stand_ins::http_request& request)
{
    if (auto controlled = service.control.respond(request)) {
        return std::move(*controlled);
    }
    if (request.path == "/v1/load") {
        return load_report(service);
    }
    ++service.running;
    auto response = handle_call(service, request);
    --service.running;
    return response;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Stands in for a plain service in tests."};
    std::string listen = "127.0.0.1:0";
    service_state service;
    std::int64_t work_time = 0;
    app.add_option("--listen", listen, "IPv4:port to listen on; port 0 takes a free one");
    app.add_option("--slots", service.slots, "slots that the load report names");
    app.add_option("--work-ms", work_time, "time of one call");
    CLI11_PARSE(app, argc, argv);
    service.work_time = std::chrono::milliseconds{work_time};
    return stand_ins::run(listen, {.respond =
                                       [&service](const stand_ins::http_request& request) {
                                           return respond(service, request);
                                       },
                                   .before_body =
                                       [&service](const stand_ins::http_request& request) {
                                           service.control.wait_until_reading(request);
                                       }});
}
