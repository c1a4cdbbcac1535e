/** Load and reachability of the backend servers as known to an entry, and placement of calls on them. */
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

/** Requirements of a call on its server. */
struct PlacementRequest
{
    CallKey key;                     ///< Which call.
    PoolKind kind = PoolKind::Model; ///< Kind of server.
    ModelName model;                 ///< Required model, for a model call.
    ServiceName service;             ///< Required service, for a service call.
    std::uint32_t promptTokens{};    ///< Estimated prompt length in tokens.
    std::uint32_t outputTokens{};    ///< Upper bound on generated tokens, taken as the expected number.
    ServerName warmServer;           ///< Server that ran the program's last model turn and may have its prefix cached; empty if none.
    std::uint32_t warmTokens{};      ///< Prompt tokens that the prefix cache of `warmServer` may hold.
    std::vector<ServerName> avoid;   ///< Servers that must not be chosen because this call failed there.
};

/** The chosen server. */
struct Placement
{
    ServerName server;       ///< Which server.
    std::string address;     ///< Address of its gate, "ip:port".
    Incarnation incarnation; ///< Incarnation of its gate.
    Duration expected{};     ///< Expected time until the call ends, waiting included.
};

struct WorkerRegistryState;

/** The backend servers known to one entry. */
class WorkerRegistry
{
public:
    /** @param zone This entry's availability zone. */
    explicit WorkerRegistry(ZoneName zone);
    ~WorkerRegistry();
    WorkerRegistry(WorkerRegistry &&) noexcept;
    WorkerRegistry &operator=(WorkerRegistry &&) noexcept;

    // Commands.

    /** Applies the VM list. A stale, empty or missing list never removes a server that is reachable. */
    void onVmList(const std::vector<VmListing> &vms, TimePoint now);
    /** Applies the operators' server declarations. */
    void onConfig(const ConfigRow &config, TimePoint now);
    /** Records a load report. */
    void onStatus(const GateStatus &status, TimePoint now);
    /** Excludes a server until its gate reports again. Called when the connection to the gate is lost. */
    void onLost(const ServerName &server, TimePoint now);
    /** Counts an order as load of the server until recordEnd() is called. */
    void recordSent(const ServerName &server, const CallKey &key, const PlacementRequest &request, TimePoint now);
    /** Stops counting an order. */
    void recordEnd(const ServerName &server, const CallKey &key, const CallOutcome &outcome, TimePoint now);

    // Queries.

    /**
     * Chooses a server for a call.
     * @param reason Set if there is none.
     * @return The server with the earliest expected end of the call; nothing if none is eligible.
     */
    std::optional<Placement> choose(const PlacementRequest &request, TimePoint now, Error &reason) const;
    /** @return Address of a server's gate; empty if unknown. */
    [[nodiscard]] std::string address(const ServerName &server) const;
    /** @return Incarnation of a server's gate as last reported. */
    [[nodiscard]] std::optional<Incarnation> incarnation(const ServerName &server) const;
    /** @return Every server whose address is known. */
    [[nodiscard]] std::vector<ServerName> servers() const;
    /** @return True if the server is excluded from new calls because it is leaving. */
    [[nodiscard]] bool isLeaving(const ServerName &server) const;

private:
    std::unique_ptr<WorkerRegistryState> m_state;
};

} // namespace Vanillahall
