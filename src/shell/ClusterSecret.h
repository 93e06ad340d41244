// Keyed digests based on the cluster secret, and random bytes.
#ifndef hyssoppaddle_shell_ClusterSecret_h
#define hyssoppaddle_shell_ClusterSecret_h

#include "base/Result.h"

#include <string>
#include <string_view>

namespace hyssoppaddle::shell {

// Lower-case hexadecimal.
std::string
ToHex(std::string_view aBytes);

// Random bytes from libsodium.
std::string
RandomBytes(std::size_t aCount);
std::string
RandomHex(std::size_t aCount);

class ClusterSecret
{
public:
  static constexpr std::size_t kSecretLength = 32;

  // The file contains 64 hexadecimal digits and optional white space.
  static Result<ClusterSecret> Load(const std::string& aFile);
  // aBytes must be kSecretLength long.
  explicit ClusterSecret(std::string aBytes);

  // Returns the 32 bytes that state::KeyRecord stores.
  [[nodiscard]] std::string KeyDigest(std::string_view aSecret) const;
  // Returns a digest of aText of 32 bytes, for the greeting between entry
  // instances.
  [[nodiscard]] std::string PeerProof(std::string_view aText) const;

private:
  std::string bytes;
};

// 32 bytes of BLAKE2b without a key.
std::string
PlainDigest(std::string_view aText);

// Compares in constant time.
bool
EqualSecrets(std::string_view aLeft, std::string_view aRight);

} // namespace hyssoppaddle::shell

#endif
