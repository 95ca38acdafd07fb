// Immutable bytes that all copies of the value share.
#pragma once

#include <memory>
#include <string>

namespace guavawick {

/// Bytes that are passed on without copying them. Thread safety: as std::shared_ptr<const std::string>.
class shared_bytes {
public:
    shared_bytes() = default;
    shared_bytes(std::string bytes) : bytes_(std::make_shared<const std::string>(std::move(bytes))) {}
    shared_bytes(const char* text) : shared_bytes(std::string(text)) {}

    /// @return the bytes. The reference is valid as long as a copy of this value exists.
    [[nodiscard]] const std::string& str() const
    {
        static const std::string empty;
        return bytes_ ? *bytes_ : empty;
    }
    operator const std::string&() const { return str(); }
    [[nodiscard]] std::size_t size() const { return str().size(); }
    bool operator==(const shared_bytes& other) const { return str() == other.str(); }

private:
    std::shared_ptr<const std::string> bytes_;
};

} // namespace guavawick
