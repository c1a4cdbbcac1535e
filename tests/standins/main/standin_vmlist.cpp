#include "../vm_list_standin_base.h"
#include "standin_main_func.h"

using namespace Vanillahall;

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    StandinOptions options;
    std::int64_t lag = 0;
    auto description = describeOptions(options);
    description.add_options()("lag-ms", po::value(&lag)->default_value(lag), "age of the returned list, in milliseconds");
    if (!readOptions(argc, argv, description)) {
        return 2;
    }
    Loop loop;
    VmListStandin list(loop, options.address, options.port, std::chrono::milliseconds(lag));
    return serve(loop, list);
}
