/** Who may ask what: bearer tokens of callers and operators. */
#pragma once

#include "vanillahall/core/error_type.h"
#include "vanillahall/core/id_type.h"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace Vanillahall {

/** What a token allows. */
enum class AccessRole : std::uint8_t {
    Caller,   ///< Programs of one customer.
    Operator, ///< Configuration, state and reports; no programs.
};

/** Whom a token names. */
struct Access
{
    AccessRole role = AccessRole::Caller; ///< What it allows.
    std::string name;                     ///< Name of the customer or of the operator.
};

/** The tokens of a file, read again when the file changes. One line a token: "caller|operator NAME TOKEN". */
class AccessTable
{
public:
    /** @param file Path of the tokens file. */
    explicit AccessTable(std::string file);

    /**
     * Reads the file if it has changed since the last time. A file that can't be read or has a fault changes nothing.
     * @param reason Why it was not taken in.
     * @return False if it was not taken in.
     */
    bool refresh(Error &reason);

    /**
     * Looks a token up. The time that this takes doesn't depend on the token.
     * @param token The bearer token.
     * @return Whom it names, or nothing.
     */
    [[nodiscard]] std::optional<Access> find(const std::string &token) const;

private:
    /** One line of the file. */
    struct Entry
    {
        Access access;      ///< Whom the token names.
        std::string digest; ///< SHA-256 of the token.
    };

    std::string m_file;
    std::optional<std::filesystem::file_time_type> m_readAt;
    std::vector<Entry> m_entries;
};

} // namespace Vanillahall
