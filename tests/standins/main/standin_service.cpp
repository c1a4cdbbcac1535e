#include "../service_standin_base.h"
#include "standin_main_func.h"

using namespace Vanillahall;

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    StandinOptions options;
    ServiceStandinSettings settings;
    std::int64_t work = 0;
    auto description = describeOptions(options);
    description.add_options()("name", po::value(&settings.name)->default_value(settings.name), "name of the service");
    description.add_options()("slots", po::value(&settings.slots)->default_value(settings.slots), "limit of concurrent runs");
    description.add_options()("work-us", po::value(&work)->default_value(work), "duration of one run, in microseconds");
    if (!readOptions(argc, argv, description)) {
        return 2;
    }
    settings.work = std::chrono::microseconds(work);
    Loop loop;
    ServiceStandin service(loop, options.address, options.port, settings);
    return serve(loop, service);
}
