// Chains of turns that an entry has lately served: most next turns come through the same entry, which then
// needs no copy from the ledger. Pure.
#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>

namespace guavawick::gateway {

/// The chains used last, up to a number of bytes.
struct history_cache {
    struct entry {
        std::string key;
        std::string chain; ///< every byte up to the end of the turn
    };
    std::list<entry> newest_first;
    std::unordered_map<std::string, std::list<entry>::iterator> by_key;
    std::size_t bytes = 0;
};

constexpr std::size_t max_history_bytes = 8U << 20U; ///< a tenth of the memory of the smallest entry instance

/// @return the key of an organisation's turn.
std::string make_history_key(const std::string& organisation, const std::string& turn);
/// @return the chain that ends with a turn, or nullptr. Good until the cache changes.
const std::string* find_history(history_cache& cache, const std::string& key);
/// Keeps a chain and drops those that were not used for longest.
void store_history(history_cache& cache, const std::string& key, std::string chain);

} // namespace guavawick::gateway
