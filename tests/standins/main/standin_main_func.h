/** Helpers of the stand-ins' main functions. */
#pragma once

#include "vanillahall/net/loop_base.h"

#include "../standin_server_base.h"

#include <iostream>
#include <string>

#include <boost/program_options.hpp>

namespace Vanillahall {

/** Options common to all stand-ins. */
struct StandinOptions
{
    std::string address = "127.0.0.1"; ///< IP address to listen on.
    std::uint16_t port = 0;            ///< Port; 0 chooses a free one.
};

/** @return The description of the common options. */
inline boost::program_options::options_description describeOptions(StandinOptions &options)
{
    namespace po = boost::program_options;
    po::options_description description("Options");
    description.add_options()("help", "show this text");
    description.add_options()("address", po::value(&options.address)->default_value(options.address), "IP address to listen on");
    description.add_options()("port", po::value(&options.port)->default_value(options.port), "port; 0 chooses a free one");
    return description;
}

/** Parses the command line. @return False if the program has to exit, after the help or an error was printed. */
inline bool readOptions(int argc, char **argv, const boost::program_options::options_description &description)
{
    namespace po = boost::program_options;
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
        if (values.count("help") == 0) {
            return true;
        }
        std::cout << description;
    } catch (const po::error &error) {
        std::cerr << error.what() << "\n";
    }
    return false;
}

/** Serves until SIGTERM or SIGINT. @return The exit code. */
template<typename Standin>
int serve(Loop &loop, Standin &standin)
{
    Error reason;
    const auto port = standin.server().listen(reason);
    if (!port) {
        std::cerr << reason.message << "\n";
        return 1;
    }
    std::cout << "ready " << *port << std::endl;
    loop.onStopSignal([&loop] {
        loop.stop();
    });
    loop.run();
    return 0;
}

} // namespace Vanillahall
