/** Explanation of a choice of a server: every server considered, with the terms of its estimate and the age of the inputs. */
#pragma once

#include "vanillahall/core/forward_type.h"

#include <optional>
#include <string>
#include <vector>

namespace Vanillahall::Forward {

/** One server that was considered. */
struct ServerExplanation
{
    std::string server;                     ///< Id of the server.
    std::string zone;                       ///< Availability zone of the server.
    std::string excludedBy;                 ///< Why it can't take the request; empty if it can.
    double waitMs{};                        ///< Expected wait for a slot.
    double prefillMs{};                     ///< Prompt tokens to be read, its own and those of requests before it.
    double loadMs{};                        ///< Slowdown by requests in progress.
    double zoneMs{};                        ///< Cost of the distance.
    double penaltyMs{};                     ///< Cost of recent faults.
    double runMs{};                         ///< Expected time in a slot.
    double savedMs{};                       ///< Time saved, as the server knows the object of the request.
    double homeMs{};                        ///< Preference for the home of the program.
    double spreadMs{};                      ///< Difference that spreads equal choices over servers.
    double weightMs{};                      ///< Sum that is compared.
    double load{};                          ///< Requests in progress there, as far as known.
    std::optional<Duration> reportAge = {}; ///< Age of its last load report.
};

/** Explanation of ServerRegistry::choose(). */
struct ChoiceExplanation
{
    std::vector<ServerExplanation> servers; ///< Servers considered, the best first.
    std::size_t known{};                    ///< Servers of the service.
    std::string reason;                     ///< Why the first one is chosen, or why there is none.
};

} // namespace Vanillahall::Forward
