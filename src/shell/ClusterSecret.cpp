// Wraps the libsodium functions that the shell uses.
#include "shell/ClusterSecret.h"

#include <sodium.h>

#include <array>
#include <fstream>
#include <iterator>

namespace hyssoppaddle::shell {

namespace {

constexpr std::size_t kDigestBytes = 32;
using Personalisation =
  std::array<unsigned char, crypto_generichash_blake2b_PERSONALBYTES>;

// With different personalisations a key digest cannot be used as a peer proof.
constexpr Personalisation kKeyPersonalisation{ 'h', 'y', 's', 's', 'o', 'p',
                                               '-', 'k', 'e', 'y', 0,   0,
                                               0,   0,   0,   0 };
constexpr Personalisation kPeerPersonalisation{ 'h', 'y', 's', 's', 'o', 'p',
                                                '-', 'p', 'e', 'e', 'r', 0,
                                                0,   0,   0,   0 };

const unsigned char*
Bytes(std::string_view aText)
{
  return reinterpret_cast<const unsigned char*>(aText.data());
}

std::string
KeyedDigest(std::string_view aText,
            std::string_view aKey,
            const Personalisation& aPersonalisation)
{
  std::string digest(kDigestBytes, '\0');
  crypto_generichash_blake2b_salt_personal(
    reinterpret_cast<unsigned char*>(digest.data()),
    digest.size(),
    Bytes(aText),
    aText.size(),
    Bytes(aKey),
    aKey.size(),
    nullptr,
    aPersonalisation.data());
  return digest;
}

} // namespace

std::string
ToHex(std::string_view aBytes)
{
  std::string text(aBytes.size() * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), Bytes(aBytes), aBytes.size());
  text.pop_back();
  return text;
}

std::string
RandomBytes(std::size_t aCount)
{
  std::string bytes(aCount, '\0');
  randombytes_buf(bytes.data(), bytes.size());
  return bytes;
}

std::string
RandomHex(std::size_t aCount)
{
  return ToHex(RandomBytes(aCount));
}

Result<ClusterSecret>
ClusterSecret::Load(const std::string& aFile)
{
  std::ifstream file(aFile, std::ios::binary);
  if (!file) {
    return Fail(ErrorCode::IoFailure, "cannot read the file " + aFile);
  }
  const std::string text(std::istreambuf_iterator<char>(file), {});
  std::string bytes(kSecretLength, '\0');
  std::size_t length = 0;
  const char* end = nullptr;
  const int failed =
    sodium_hex2bin(reinterpret_cast<unsigned char*>(bytes.data()),
                   bytes.size(),
                   text.data(),
                   text.size(),
                   " \t\r\n",
                   &length,
                   &end);
  if (failed != 0 || length != kSecretLength ||
      end != text.data() + text.size()) {
    return Fail(ErrorCode::Malformed,
                "the file " + aFile + " must hold 64 hexadecimal digits");
  }
  return ClusterSecret(std::move(bytes));
}

ClusterSecret::ClusterSecret(std::string aBytes)
  : bytes(std::move(aBytes))
{
}

std::string
ClusterSecret::KeyDigest(std::string_view aSecret) const
{
  return KeyedDigest(aSecret, this->bytes, kKeyPersonalisation);
}

std::string
ClusterSecret::PeerProof(std::string_view aText) const
{
  return KeyedDigest(aText, this->bytes, kPeerPersonalisation);
}

std::string
PlainDigest(std::string_view aText)
{
  std::string digest(kDigestBytes, '\0');
  crypto_generichash(reinterpret_cast<unsigned char*>(digest.data()),
                     digest.size(),
                     Bytes(aText),
                     aText.size(),
                     nullptr,
                     0);
  return digest;
}

bool
EqualSecrets(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         sodium_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace hyssoppaddle::shell
