// Stand-in for the platform's services in tests: configuration, VM list, target list, client
// directory and weight store, with control calls that change them or inject faults
// (docs/STAND_INS.md).

#include "stand_ins/platform_state.hpp"
#include "stand_ins/run.hpp"

#include <string>

#include <CLI/CLI.hpp>

int main(int argc, char** argv)
{
    namespace stand_ins = chicorylink::stand_ins;
    CLI::App app{"Stands in for the platform's services in tests."};
    std::string listen = "127.0.0.1:0";
    std::string folder;
    app.add_option("--listen", listen, "IPv4:port to listen on; port 0 takes a free one");
    app.add_option("--rules-folder", folder, "folder made by 'chicorylink rules split'");
    CLI11_PARSE(app, argc, argv);
    stand_ins::platform_state state(folder);
    return stand_ins::run(listen, {.respond =
                                       [&state](const stand_ins::http_request& request) {
                                           return state.respond(request);
                                       },
                                   .before_body = {}});
}
