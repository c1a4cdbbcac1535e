#include "access_base.h"

#include "vanillahall/core/error_func.h"

#include <fstream>
#include <sstream>

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace Vanillahall {

namespace {

constexpr std::size_t MinTokenLength = 16; ///< Shorter tokens would be open to brute force.

std::string digestOf(const std::string &token)
{
    std::string buf(SHA256_DIGEST_LENGTH, '\0');
    SHA256(reinterpret_cast<const unsigned char *>(token.data()), token.size(), reinterpret_cast<unsigned char *>(buf.data()));
    return buf;
}

std::optional<AccessRole> parseRole(const std::string &text)
{
    if (text == "caller") {
        return AccessRole::Caller;
    }
    if (text == "operator") {
        return AccessRole::Operator;
    }
    return std::nullopt;
}

} // namespace

AccessTable::AccessTable(std::string file)
    : m_file(std::move(file))
{
}

bool AccessTable::refresh(Error &reason)
{
    std::error_code ec;
    const auto changedAt = std::filesystem::last_write_time(m_file, ec);
    if (ec) {
        reason = notRun(ErrorCode::Internal, Step::Authenticate, m_file, "the tokens file can't be read: " + ec.message());
        return false;
    }
    if (m_fileTime == changedAt) {
        return true;
    }
    std::ifstream stream(m_file);
    std::vector<Entry> entries;
    std::string line;
    for (std::size_t number = 1; std::getline(stream, line); number++) {
        std::istringstream words(line);
        std::string role;
        std::string name;
        std::string token;
        if (!(words >> role) || role.front() == '#') {
            continue;
        }
        const auto parsed = parseRole(role);
        if (!parsed || !(words >> name >> token) || token.size() < MinTokenLength) {
            reason = notRun(ErrorCode::BadRequest,
                            Step::Authenticate,
                            m_file + ":" + std::to_string(number),
                            "expected caller or operator, a name, and a token of at least " + std::to_string(MinTokenLength) + " bytes");
            return false;
        }
        entries.push_back({{*parsed, name}, digestOf(token)});
    }
    m_entries = std::move(entries);
    m_fileTime = changedAt;
    return true;
}

std::optional<Access> AccessTable::find(const std::string &token) const
{
    const std::string digest = digestOf(token);
    std::optional<Access> found;
    for (const auto &it : m_entries) {
        if (CRYPTO_memcmp(it.digest.data(), digest.data(), digest.size()) == 0) {
            found = it.access;
        }
    }
    return found;
}

} // namespace Vanillahall
