// Chains of turns that an entry has lately served.
#include "gateway/history_cache.hpp"

namespace guavawick::gateway {

std::string make_history_key(const std::string& organisation, const std::string& turn)
{
    return organisation + "\n" + turn;
}

const std::string* find_history(history_cache& cache, const std::string& key)
{
    const auto found = cache.by_key.find(key);
    if (found == cache.by_key.end()) {
        return nullptr;
    }
    cache.newest_first.splice(cache.newest_first.begin(), cache.newest_first, found->second);
    return &found->second->chain;
}

void store_history(history_cache& cache, const std::string& key, std::string chain)
{
    if (chain.size() > max_history_bytes || find_history(cache, key) != nullptr) {
        return;
    }
    cache.bytes += chain.size();
    cache.newest_first.push_front({key, std::move(chain)});
    cache.by_key[key] = cache.newest_first.begin();
    while (cache.bytes > max_history_bytes) {
        cache.bytes -= cache.newest_first.back().chain.size();
        cache.by_key.erase(cache.newest_first.back().key);
        cache.newest_first.pop_back();
    }
}

} // namespace guavawick::gateway
