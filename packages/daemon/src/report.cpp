#include "report_func.h"

#include "api_func.h"

#include "vanillahall/core/id_func.h"

#include <nlohmann/json.hpp>

namespace Vanillahall {

namespace {

using Json = nlohmann::json;

double seconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

std::string_view phaseText(ShardPhase phase)
{
    switch (phase) {
    case ShardPhase::Claiming:
        return "claiming";
    case ShardPhase::Loading:
        return "loading";
    case ShardPhase::Held:
        return "held";
    case ShardPhase::Lapsed:
        return "lapsed";
    case ShardPhase::Lost:
        break;
    }
    return "lost";
}

Json shardJson(const ShardView &shard)
{
    return {{"shard", toText(shard.shard)},
            {"phase", phaseText(shard.phase)},
            {"epoch", shard.epoch.value},
            {"programs", shard.programs},
            {"live_programs", shard.livePrograms},
            {"undurable_turns", shard.undurable},
            {"store_away", shard.isStoreUnavailable}};
}

Json costJson(const ProgramCost &cost)
{
    return {{"program", toText(cost.program)},
            {"customer", cost.customer.text},
            {"class", cost.className.text},
            {"target_seconds", std::chrono::duration<double>(cost.target).count()},
            {"latency_seconds", seconds(cost.latency)},
            {"waiting_seconds", seconds(cost.spent.waiting)},
            {"prefill_seconds", seconds(cost.spent.prefill)},
            {"decode_seconds", seconds(cost.spent.decode)},
            {"service_seconds", seconds(cost.spent.service)},
            {"pause_seconds", seconds(cost.spent.pause)},
            {"rest_seconds", seconds(cost.spent.rest)}};
}

Json lineJson(const BurnLine &line)
{
    Json windows = Json::array();
    for (const auto &it : line.windows) {
        windows.push_back({{"seconds", it.length.count()}, {"ended", it.ended}, {"missed", it.missed}, {"burn_rate", it.burnRate}});
    }
    Json json = {{"class", line.className.text}, {"customer", line.customer.text}, {"windows", windows}, {"budget_left", line.budgetLeft}};
    json["gone_in_seconds"] = line.exhaustedIn ? Json(seconds(*line.exhaustedIn)) : Json(nullptr);
    return json;
}

HttpResponse jsonResponse(const Json &json)
{
    HttpResponse response;
    response.body = json.dump(-1, ' ', false, Json::error_handler_t::replace);
    return response;
}

} // namespace

HttpResponse encodeState(const EntryView &view, const PeerConfigVersions &peerConfigs)
{
    Json processes = Json::array({{{"name", view.entry.text}, {"config", view.config.value}}});
    for (const auto &[name, version] : peerConfigs) {
        processes.push_back({{"name", name}, {"config", version.value}});
    }
    Json shards = Json::array();
    for (const auto &it : view.shards) {
        shards.push_back(shardJson(it));
    }
    Json gates = Json::array();
    for (const auto &it : view.gates) {
        gates.push_back(
            {{"server", it.server.text}, {"address", it.address}, {"ready", it.ready}, {"leaving", it.leaving}, {"calls", it.calls}});
    }
    return jsonResponse({{"entry", view.entry.text},
                         {"config", view.config.value},
                         {"stopping", view.stopping},
                         {"requests", view.requests},
                         {"calls", view.calls},
                         {"unstored_turns", view.unstoredTurns},
                         {"shards", shards},
                         {"gates", gates},
                         {"processes", processes}});
}

HttpResponse encodeOutcomes(const std::vector<TurnView> &turns)
{
    Json list = Json::array();
    for (const auto &it : turns) {
        const auto *call = std::get_if<ServiceCall>(&it.input);
        list.push_back({{"program", toText(it.key.program)},
                        {"turn", it.key.turn.value},
                        {"server", it.server.text},
                        {"service", call != nullptr ? call->service.text : ""},
                        {"operation", call != nullptr ? call->operation : ""},
                        {"began_ms", it.began.time_since_epoch().count()}});
    }
    return jsonResponse(list);
}

HttpResponse encodeBurn(const BurnReport &report)
{
    Json lines = Json::array();
    for (const auto &it : report.lines) {
        lines.push_back(lineJson(it));
    }
    Json costliest = Json::array();
    for (const auto &it : report.costliest) {
        costliest.push_back(costJson(it));
    }
    return jsonResponse({{"at_ms", report.at.time_since_epoch().count()},
                         {"agreed_share", report.agreedShare},
                         {"lines", lines},
                         {"costliest", costliest}});
}

} // namespace Vanillahall
