/** Explanation of the choice of a server, from the comparison that decides. */
#include "vanillahall/core/server_registry_base.h"

#include <algorithm>
#include <array>
#include <set>

namespace Vanillahall::Forward {

namespace {

/** Term by which the chosen server may be better than the next one. */
struct NamedTerm
{
    double ChoiceTerms::*value; ///< The term.
    bool isSubtracted;          ///< True if a larger value is better.
    std::string_view advantage; ///< What the chosen server has.
};

constexpr auto NamedTerms = std::to_array<NamedTerm>({
    {&ChoiceTerms::waitMs, false, "shorter wait for a slot"},
    {&ChoiceTerms::prefillMs, false, "fewer prompt tokens to read"},
    {&ChoiceTerms::loadMs, false, "fewer requests in progress"},
    {&ChoiceTerms::zoneMs, false, "nearer zone"},
    {&ChoiceTerms::penaltyMs, false, "fewer recent faults"},
    {&ChoiceTerms::runMs, false, "faster work"},
    {&ChoiceTerms::savedMs, true, "knows the object"},
    {&ChoiceTerms::homeMs, true, "home of the program"},
    {&ChoiceTerms::spreadMs, false, "spread of equal choices"},
});

} // namespace

std::string ServerRegistry::choiceReason(const std::vector<ServerExplanation> &servers)
{
    if (servers.empty()) {
        return "no usable server of the service is known";
    }
    const auto &best = servers.front();
    if (!best.excludedBy.empty()) {
        return "no server can take the request";
    }
    if (servers.size() == 1 || !servers[1].excludedBy.empty()) {
        return "the only server that can take the request";
    }
    const auto &next = servers[1];
    std::string_view advantage = "first in the order of equal servers";
    double most = 0;
    for (const auto &it : NamedTerms) {
        const double difference = next.terms.*it.value - best.terms.*it.value;
        const double gain = it.isSubtracted ? -difference : difference;
        if (gain > most) {
            most = gain;
            advantage = it.advantage;
        }
    }
    return "least weight; largest advantage over " + next.server + ": " + std::string(advantage);
}

ServerExplanation ServerRegistry::explainServer(const Considered &considered, const Lookup &lookup, TimePoint now)
{
    const auto &state = *considered.scored.state;
    const auto &score = considered.scored.score;
    const auto ageIf = [now](bool isKnown, TimePoint at) {
        return isKnown ? std::optional<Duration>(now - at) : std::nullopt;
    };
    ServerExplanation server;
    server.server = state.server.id;
    server.zone = state.server.zone;
    server.excludedBy = considered.excludedBy;
    server.terms = score.terms;
    server.weightMs = score.weight;
    server.finishMs = score.finishMs;
    server.load = score.view.load;
    server.slowness = score.view.slowness;
    server.uncachedTokens = score.uncached;
    server.ownRequests = state.running;
    server.isHome = &state == lookup.home;
    server.ages.report = state.backlog.reportAge(now);
    server.ages.pace = state.backlog.paceAge(now);
    server.ages.eventTime = ageIf(state.msPerEvent > 0, state.msPerEventAt);
    server.ages.failures = ageIf(state.failureRate > 0, state.failureRateAt);
    server.ages.rateLimit = ageIf(state.rateLimit.rate().has_value(), state.rateLimitAt);
    return server;
}

ChoiceExplanation ServerRegistry::explain(const ChoiceRequest &request, TimePoint now) const
{
    ChoiceExplanation explanation;
    if (const auto *service = serviceServers(request.service)) {
        const auto lookup = lookUp(request);
        ConsideredList considered;
        const auto best = findBest(*service, request, lookup, now, &considered);
        std::sort(considered.begin(), considered.end(), [&](const Considered &first, const Considered &second) {
            if (first.excludedBy.empty() != second.excludedBy.empty()) {
                return first.excludedBy.empty();
            }
            return isBetter(first.scored, second.scored, lookup);
        });
        std::set<const ServerState *> listed; // The holders of a prompt may also be drawn by the index.
        for (const auto &it : considered) {
            if (listed.insert(it.scored.state).second) {
                explanation.servers.push_back(explainServer(it, lookup, now));
            }
        }
        explanation.known = service->servers.size();
        if (best.state != nullptr) {
            explanation.chosen = best.state->server.id;
        }
    }
    explanation.reason = choiceReason(explanation.servers);
    return explanation;
}

} // namespace Vanillahall::Forward
