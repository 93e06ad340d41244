// Creates TLS contexts from the settings.
#ifndef hyssoppaddle_shell_TlsContext_h
#define hyssoppaddle_shell_TlsContext_h

#include "base/Result.h"
#include "config/Settings.h"
#include "shell/Asio.h"

#include <memory>

namespace hyssoppaddle::shell {

// Loads the certificate and the key. If an authority is configured, the other
// side must present a certificate signed by it. Allows TLS 1.2 and later.
Result<std::shared_ptr<asio::ssl::context>>
MakeTlsContext(const config::TlsSettings& aSettings);

} // namespace hyssoppaddle::shell

#endif
