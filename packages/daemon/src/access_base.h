/** Access control by bearer tokens of callers and operators. */
#pragma once

#include "vanillahall/core/error_type.h"
#include "vanillahall/core/id_type.h"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace Vanillahall {

/** Access granted by a token. */
enum class AccessRole : std::uint8_t {
    Caller,   ///< Programs of one customer.
    Operator, ///< Configuration, state and reports, but no programs.
};

/** The identity that a token authenticates. */
struct Access
{
    AccessRole role = AccessRole::Caller; ///< Access granted.
    std::string name;                     ///< Name of the customer or of the operator.
};

/** Tokens loaded from a file and reloaded when the file changes. Each line has the form "caller|operator NAME TOKEN". */
class AccessTable
{
public:
    /** @param file Path of the tokens file. */
    explicit AccessTable(std::string file);

    /**
     * Reloads the file if its modification time has changed. If the file is unreadable or invalid, the previous tokens stay valid.
     * @param reason Set to the error if the reload fails.
     * @return False if the reload failed.
     */
    bool refresh(Error &reason);

    /**
     * Looks up a token by comparing digests in constant time, so that the timing reveals nothing about stored tokens.
     * @param token The bearer token.
     * @return The identity, or nothing for an unknown token.
     */
    [[nodiscard]] std::optional<Access> find(const std::string &token) const;

private:
    /** One line of the file. */
    struct Entry
    {
        Access access;      ///< Identity that the token authenticates.
        std::string digest; ///< SHA-256 of the token.
    };

    std::string m_file;
    std::optional<std::filesystem::file_time_type> m_fileTime;
    std::vector<Entry> m_entries;
};

} // namespace Vanillahall
