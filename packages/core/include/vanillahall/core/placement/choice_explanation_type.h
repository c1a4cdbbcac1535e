/** Explanation of a choice of a server: every server considered, with the terms of its estimate and the age of the inputs. */
#pragma once

#include "vanillahall/core/forward_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Vanillahall::Forward {

/** Terms of the estimate that servers are compared by, in milliseconds. `savedMs` and `homeMs` are subtracted, the others added. */
struct ChoiceTerms
{
    double waitMs = 0;    ///< Expected wait for a slot.
    double prefillMs = 0; ///< Prompt tokens to be read, its own and those of requests before it.
    double loadMs = 0;    ///< Delay by requests that the server already has.
    double zoneMs = 0;    ///< Cost of the distance.
    double penaltyMs = 0; ///< Cost of recent faults and refusals.
    double runMs = 0;     ///< Part of the expected time in a slot that counts.
    double savedMs = 0;   ///< Time saved, since the server knows the object of the request.
    double homeMs = 0;    ///< Preference for the home of the program, or for a server whose capacity expires unused.
    double spreadMs = 0;  ///< Difference that spreads equal choices over servers.
};

/** Ages of what is known about a server; nothing if it isn't known. */
struct ServerInputAges
{
    std::optional<Duration> report;    ///< Last load report.
    std::optional<Duration> pace;      ///< Learned pace.
    std::optional<Duration> eventTime; ///< Measured time per event.
    std::optional<Duration> failures;  ///< Failure rate.
    std::optional<Duration> rateLimit; ///< Rate limit that the server has named.
};

/** One server that was considered. */
struct ServerExplanation
{
    std::string server;             ///< Id of the server.
    std::string zone;               ///< Availability zone of the server.
    std::string_view excludedBy;    ///< Why it can't take the request; empty if it can.
    ChoiceTerms terms;              ///< Terms of the estimate.
    double weightMs = 0;            ///< Their sum, which is compared.
    double finishMs = 0;            ///< Expected time to the end of the request.
    double load = 0;                ///< Requests in progress there, as far as known.
    double slowness = 1;            ///< Time that work takes there, relative to the usual time.
    std::uint32_t uncachedTokens{}; ///< Prompt tokens that it has to read, as far as known.
    std::uint32_t ownRequests{};    ///< Requests in progress of this proxy.
    bool isHome = false;            ///< True if it is the home of the program.
    ServerInputAges ages;           ///< Ages of the inputs.
};

/** Explanation of ServerRegistry::choose(). */
struct ChoiceExplanation
{
    std::vector<ServerExplanation> servers; ///< Servers considered: the chosen one, the others by weight, the excluded ones.
    std::size_t known{};                    ///< Usable servers of the service at the last update of the list.
    std::optional<std::string> chosen;      ///< Id of the chosen server.
    std::string reason;                     ///< Why it is chosen, or why there is none.
};

} // namespace Vanillahall::Forward
