#include "request_explanation_func.h"

#include <nlohmann/json.hpp>

namespace Vanillahall::Forward {

namespace {

using Json = nlohmann::ordered_json;

constexpr double Hundredths = 100; ///< Times are rounded to hundredths of a millisecond.

double rounded(double value)
{
    return std::round(value * Hundredths) / Hundredths;
}

double toMs(Duration span)
{
    return rounded(std::chrono::duration<double, std::milli>(span).count());
}

Json toMs(const std::optional<Duration> &span)
{
    return span ? Json(toMs(*span)) : Json();
}

const char *nameOf(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Sent:
        return "sent";
    case Verdict::Waits:
        return "waits";
    case Verdict::Refused:
        return "refused";
    case Verdict::Unknown:
        return "unknown";
    }
    return "unnamed";
}

Json toValue(const Refusal &refusal)
{
    return {{"status", refusal.status}, {"outcome", outcomeName(refusal.outcome)}, {"retry_after_ms", toMs(refusal.retryAfter)}};
}

/** Selects the JSON form of a decision. */
struct DecisionOf
{
    Json operator()(const ProgramAdmitted &it) const
    {
        return {{"decision", "admitted"}, {"basis", admissionName(it.basis)}};
    }
    Json operator()(const ProgramRefused &it) const
    {
        return {{"decision", "refused"}, {"basis", admissionName(it.reason)}, {"until_room_ms", toMs(it.untilRoom)}};
    }
    Json operator()(const QuotaGranted & /*it*/) const
    {
        return {{"decision", "granted"}};
    }
    Json operator()(const QuotaRefused &it) const
    {
        return {{"decision", "refused"}, {"retry_after_ms", toMs(it.retryAfter)}};
    }
    Json operator()(const TokenGranted & /*it*/) const
    {
        return {{"decision", "granted"}};
    }
    Json operator()(const TokenBudgetExhausted & /*it*/) const
    {
        return {{"decision", "exhausted"}};
    }
    Json operator()(const TokenBudgetUnknown &it) const
    {
        return {{"decision", "unsettled"}, {"retry_after_ms", toMs(it.retryAfter)}};
    }
    Json operator()(const TokenNeedsReturns &it) const
    {
        return {{"decision", "needs_returns"}, {"holders", it.holders}};
    }
    Json operator()(const TokenNeedsWrite & /*it*/) const
    {
        return {{"decision", "needs_write"}};
    }
    Json operator()(const TokenNeedsRead & /*it*/) const
    {
        return {{"decision", "needs_read"}};
    }
    template<typename Other>
    Json operator()(const Other & /*it*/) const
    {
        return {{"decision", "waits"}};
    }
};

Json toValue(const AdmissionExplanation &admission)
{
    auto value = std::visit(DecisionOf(), admission.decision);
    const auto &state = admission.saturation;
    value["saturated"] = state.isSaturated;
    value["busy"] = state.isBusy;
    value["refusing"] = state.isRefusing;
    value["refusal_share"] = rounded(state.refusalShare);
    value["delay_ratio"] = rounded(state.delayRatio);
    value["work_ratio"] = rounded(state.workRatio);
    value["sample_age_ms"] = toMs(state.sampleAge);
    value["waiting"] = admission.waiting;
    return value;
}

Json toValue(const PermitExplanation &permit)
{
    auto value = std::visit(DecisionOf(), permit.answer);
    if (permit.view) {
        const auto &view = *permit.view;
        value["per_second"] = view.limit.perSecond;
        value["burst"] = view.limit.burst;
        value["level"] = rounded(view.level);
        value["capacity"] = rounded(view.capacity);
        value["part"] = rounded(view.part);
        value["demand_per_second"] = rounded(view.demand);
        value["in_touch"] = view.isInTouch;
        value["reports_age_ms"] = toMs(view.reportsAge);
    }
    return value;
}

Json toValue(const TokenExplanation &tokens)
{
    auto value = std::visit(DecisionOf(), tokens.answer);
    value["budget"] = tokens.budget;
    value["turn"] = tokens.maxTokens;
    value["available"] = tokens.view.available;
    value["row_known"] = tokens.view.row.version != 0;
    value["row_outstanding"] = tokens.view.row.version != 0 ? Json(tokens.view.row.outstanding()) : Json();
    value["row_age_ms"] = toMs(tokens.view.rowAge);
    return value;
}

Json toValue(const ServerExplanation &server)
{
    const auto &terms = server.terms;
    return {{"server", server.server},
            {"zone", server.zone},
            {"excluded_by", server.excludedBy.empty() ? Json() : Json(server.excludedBy)},
            {"weight_ms", rounded(server.weightMs)},
            {"terms_ms",
             {{"wait", rounded(terms.waitMs)},
              {"prefill", rounded(terms.prefillMs)},
              {"load", rounded(terms.loadMs)},
              {"zone", rounded(terms.zoneMs)},
              {"penalty", rounded(terms.penaltyMs)},
              {"run", rounded(terms.runMs)},
              {"saved", rounded(0 - terms.savedMs)},
              {"home", rounded(0 - terms.homeMs)},
              {"spread", rounded(terms.spreadMs)}}},
            {"finish_ms", rounded(server.finishMs)},
            {"load", rounded(server.load)},
            {"own_requests", server.ownRequests},
            {"slowness", rounded(server.slowness)},
            {"uncached_tokens", server.uncachedTokens},
            {"home", server.isHome},
            {"ages_ms",
             {{"load_report", toMs(server.ages.report)},
              {"pace", toMs(server.ages.pace)},
              {"event_time", toMs(server.ages.eventTime)},
              {"failures", toMs(server.ages.failures)},
              {"rate_limit", toMs(server.ages.rateLimit)}}}};
}

Json toValue(const ChoiceExplanation &choice)
{
    Json servers = Json::array();
    for (const auto &it : choice.servers) {
        if (servers.size() == MaxExplainedServers) {
            break;
        }
        servers.push_back(toValue(it));
    }
    return {{"chosen", choice.chosen ? Json(*choice.chosen) : Json()},
            {"reason", choice.reason},
            {"known", choice.known},
            {"considered", choice.servers.size()},
            {"servers", std::move(servers)}};
}

template<typename Part>
Json toValue(const std::optional<Part> &part)
{
    return part ? toValue(*part) : Json();
}

} // namespace

std::string toJson(const RequestExplanation &explanation)
{
    Json value;
    value["verdict"] = nameOf(explanation.verdict);
    value["reason"] = explanation.reason;
    if (explanation.verdict == Verdict::Unknown) {
        value["error"] = {{"code", explanation.error}, {"message", explanation.reason}};
    }
    value["refusal"] = toValue(explanation.refusal);
    value["max_wait_ms"] = toMs(explanation.maxWait);
    value["config"] = {{"version", explanation.configVersion}, {"age_ms", toMs(explanation.configAge)}};
    value["server_list_age_ms"] = toMs(explanation.serverListAge);
    value["store_reachable"] = explanation.isStoreReachable;
    value["route"] = explanation.route;
    value["service"] = explanation.service;
    const auto &customer = explanation.customer;
    value["customer"] = customer ? Json{{"name", customer->name}, {"rank", customer->rank}} : Json();
    value["admission"] = toValue(explanation.admission);
    value["rate_limit"] = toValue(explanation.permit);
    value["tokens"] = toValue(explanation.tokens);
    value["choice"] = toValue(explanation.choice);
    value["notes"] = explanation.notes;
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace Vanillahall::Forward
