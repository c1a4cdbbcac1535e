/** What an entry knows about the gates and their backend servers, and the choice of one for a call. */
#pragma once

#include "vanillahall/core/config_type.h"
#include "vanillahall/core/message_type.h"
#include "vanillahall/core/store_type.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Vanillahall {

/** What a call needs of a server. */
struct PlacementRequest
{
    CallKey key;                     ///< Which call.
    PoolKind kind = PoolKind::Model; ///< What kind of server.
    ModelName model;                 ///< Wanted model, for a model call.
    ServiceName service;             ///< Wanted service, for a service call.
    std::uint32_t promptTokens{};    ///< Prompt length.
    std::uint32_t outputTokens{};    ///< Expected generated tokens.
    ServerName warm;                 ///< Server that ran the program's last model turn; empty if none.
    std::uint32_t warmTokens{};      ///< Prompt tokens that its cache may hold.
    std::vector<ServerName> avoid;   ///< Servers that failed this call.
};

/** The chosen server. */
struct Placement
{
    ServerName server;       ///< Which server.
    std::string address;     ///< Address of its gate, "ip:port".
    Incarnation incarnation; ///< Run of its gate.
    Duration expected{};     ///< Expected time until the call ends.
};

struct WorkerRegistryState;

/** Servers known to one entry. */
class WorkerRegistry
{
public:
    /** @param zone This entry's availability zone. */
    explicit WorkerRegistry(ZoneName zone);
    ~WorkerRegistry();
    WorkerRegistry(WorkerRegistry &&) noexcept;
    WorkerRegistry &operator=(WorkerRegistry &&) noexcept;

    // Commands.

    /** Takes in the VM list. A stale, empty or missing list never removes a server that answers. */
    void onVmList(const std::vector<VmListing> &vms, TimePoint now);
    /** Takes in the operators' declarations. */
    void onConfig(const ConfigRow &config, TimePoint now);
    /** Takes in a load report. */
    void onStatus(const GateStatus &status, TimePoint now);
    /** The connection to a gate is lost. */
    void onLost(const ServerName &server, TimePoint now);
    /** An order was sent; counted until its end is noted. */
    void recordSent(const ServerName &server, const CallKey &key, const PlacementRequest &request, TimePoint now);
    /** The order has ended. */
    void recordEnd(const ServerName &server, const CallKey &key, const CallOutcome &outcome, TimePoint now);

    // Queries.

    /**
     * Chooses a server.
     * @param request What is needed.
     * @param reason Why there is none.
     * @return The server with the earliest expected finish, or nothing.
     */
    std::optional<Placement> choose(const PlacementRequest &request, TimePoint now, Error &reason) const;
    /** @return Address of a server's gate; empty if unknown. */
    [[nodiscard]] std::string address(const ServerName &server) const;
    /** @return Run of a server's gate as last reported. */
    [[nodiscard]] std::optional<Incarnation> incarnation(const ServerName &server) const;
    /** @return Every server that is listed or answers. */
    [[nodiscard]] std::vector<ServerName> servers() const;
    /** @return True if the server gets no new work. */
    [[nodiscard]] bool isLeaving(const ServerName &server) const;

private:
    std::unique_ptr<WorkerRegistryState> m_state;
};

} // namespace Vanillahall
