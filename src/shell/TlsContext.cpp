// Loads the certificate, the key and the authority.
#include "shell/TlsContext.h"

namespace hyssoppaddle::shell {

namespace {

namespace ssl = asio::ssl;

tl::unexpected<Error>
CannotLoad(const std::string& aFile, const ErrorValue& aError)
{
  return Fail(ErrorCode::InvalidArgument,
              "cannot use " + aFile + ": " + aError.message());
}

} // namespace

Result<std::shared_ptr<ssl::context>>
MakeTlsContext(const config::TlsSettings& aSettings)
{
  auto context = std::make_shared<ssl::context>(ssl::context::tls);
  ErrorValue error;
  context->set_options(ssl::context::default_workarounds |
                         ssl::context::no_sslv2 | ssl::context::no_sslv3 |
                         ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1,
                       error);
  context->use_certificate_chain_file(aSettings.certificateFile, error);
  if (error) {
    return CannotLoad(aSettings.certificateFile, error);
  }
  context->use_private_key_file(
    aSettings.keyFile, ssl::context::file_format::pem, error);
  if (error) {
    return CannotLoad(aSettings.keyFile, error);
  }
  if (!aSettings.authorityFile.empty()) {
    context->load_verify_file(aSettings.authorityFile, error);
    if (error) {
      return CannotLoad(aSettings.authorityFile, error);
    }
    context->set_verify_mode(ssl::verify_peer |
                             ssl::verify_fail_if_no_peer_cert);
  }
  return context;
}

} // namespace hyssoppaddle::shell
