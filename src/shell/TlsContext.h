// TLS contexts from the settings.
#ifndef hyssoppaddle_shell_TlsContext_h
#define hyssoppaddle_shell_TlsContext_h

#include "base/Result.h"
#include "config/Settings.h"
#include "shell/Asio.h"

#include <memory>

namespace hyssoppaddle::shell {

// Certificate, key and, when an authority is named, the demand that the other
// side presents a certificate of it. TLS 1.2 and later.
Result<std::shared_ptr<asio::ssl::context>>
MakeTlsContext(const config::TlsSettings& aSettings);

} // namespace hyssoppaddle::shell

#endif
