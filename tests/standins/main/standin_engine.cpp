#include "../engine_standin_base.h"
#include "standin_main_func.h"

#include <sstream>

using namespace Vanillahall;

namespace {

/** Options in the form of the command line. */
struct EngineOptions
{
    std::string models = "clapper"; ///< Separated by commas.
    std::string fencing = "yes";    ///< "yes" or "no".
    std::int64_t prefillUs = 20;    ///< Microseconds per prompt token.
    std::int64_t decodeUs = 2000;   ///< Microseconds per generated token.
    std::int64_t transferUs = 1;    ///< Microseconds per imported token.
    std::int64_t loadLagMs = 0;     ///< Milliseconds.
    std::int64_t eventLagMs = 0;    ///< Milliseconds.
    std::int64_t modelLoadMs = 500; ///< Milliseconds.
};

void describe(boost::program_options::options_description &description, EngineOptions &typed, EngineStandinSettings &settings)
{
    namespace po = boost::program_options;
    const auto add = [&description](const char *name, auto &value, const char *text) {
        description.add_options()(name, po::value(&value)->default_value(value), text);
    };
    add("models", typed.models, "loaded models, separated by commas");
    add("slots", settings.slots, "limit of requests in the batch");
    add("max-waiting", settings.maxWaiting, "limit of queued requests; further ones are answered by 429");
    add("cache-tokens", settings.cacheTokens, "capacity of the prefix cache, in tokens");
    add("prefill-us-per-token", typed.prefillUs, "prefill time for each prompt token that is not cached");
    add("decode-us-per-token", typed.decodeUs, "time of a decode step; 0 for no delay");
    add("transfer-us-per-token", typed.transferUs, "time for each imported token");
    add("fencing", typed.fencing, "yes or no: refuse orders with an outdated fencing number");
    add("load-lag-ms", typed.loadLagMs, "age of load reports");
    add("event-lag-ms", typed.eventLagMs, "delay of cache events");
    add("event-gap-percent", settings.eventGapPercent, "share of cache events that are lost");
    add("load-ms", typed.modelLoadMs, "time to load a model");
    add("crash-match", settings.crashMatch, "a prompt with this text crashes the engine; empty for none");
    add("seed", settings.seed, "seed for the choice of lost events");
}

void apply(const EngineOptions &typed, EngineStandinSettings &settings)
{
    settings.models.clear();
    std::istringstream list(typed.models);
    for (std::string model; std::getline(list, model, ',');) {
        settings.models.push_back(model);
    }
    settings.fencing = typed.fencing == "yes";
    settings.prefillPerToken = std::chrono::microseconds(typed.prefillUs);
    settings.decodePerToken = std::chrono::microseconds(typed.decodeUs);
    settings.transferPerToken = std::chrono::microseconds(typed.transferUs);
    settings.loadLag = std::chrono::milliseconds(typed.loadLagMs);
    settings.eventLag = std::chrono::milliseconds(typed.eventLagMs);
    settings.modelLoad = std::chrono::milliseconds(typed.modelLoadMs);
}

} // namespace

int main(int argc, char **argv)
{
    StandinOptions options;
    EngineOptions typed;
    EngineStandinSettings settings;
    auto description = describeOptions(options);
    describe(description, typed, settings);
    if (!readOptions(argc, argv, description)) {
        return 2;
    }
    apply(typed, settings);
    Loop loop;
    EngineStandin engine(loop, options.address, options.port, settings);
    return serve(loop, engine);
}
