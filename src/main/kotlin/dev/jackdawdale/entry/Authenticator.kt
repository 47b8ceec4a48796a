package dev.jackdawdale.entry

import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.TokenHash
import dev.jackdawdale.model.isValidId
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import java.security.MessageDigest
import java.security.SecureRandom

/** The header that names the customer when [AuthMode.NONE] is set. */
internal const val CUSTOMER_HEADER = "Jackdawdale-Customer"

private const val BEARER = "bearer "
private const val OPERATOR = "operator"
private const val MEMBER = "member"
private const val SALT_BYTES = 16

/** The token hashes that this process has for a customer. */
internal sealed interface CustomerTokens {
    data class Known(val hashes: List<TokenHash>) : CustomerTokens

    data object NoContract : CustomerTokens

    /** The cached contracts are too old to authenticate with. */
    data object Stale : CustomerTokens
}

/** Determines the principal of a call. */
internal class Authenticator(
    private val settings: HttpSettings,
    private val customerTokens: (CustomerId) -> CustomerTokens
) {
    // Compared for unknown customers, so that response times do not reveal which customers exist.
    private val dummyHashes = listOf(hashToken(SecureRandom().nextLong().toString()))

    /** Throws [HttpError] 401 without a valid token and 403 when the token lacks [access]. */
    fun authenticate(access: Access, headers: HttpHeaders): Principal {
        if (access == Access.ANYONE) return Principal.Anyone
        if (settings.authMode == AuthMode.NONE) return principalWithoutToken(access, headers)
        val token = bearerToken(headers) ?: throw unauthorized("a bearer token is needed")
        val principal = principalOf(token)
        if (!principal.mayUse(access)) {
            throw HttpError(403, "forbidden", "this token does not allow the call")
        }
        return principal
    }

    private fun principalOf(token: String): Principal {
        val name = token.substringBefore(':', "")
        val (hashes, principal) = when (name) {
            OPERATOR -> settings.operatorTokenHashes to Principal.Operator
            MEMBER -> settings.memberTokenHashes to Principal.Member
            else -> customerHashes(name) to Principal.Customer(CustomerId(name))
        }
        val known = matchesAny(token, hashes.ifEmpty { dummyHashes }) && hashes.isNotEmpty()
        if (!known) throw unauthorized("the token is not valid")
        return principal
    }

    private fun customerHashes(name: String): List<TokenHash> {
        if (!isValidId(name)) return emptyList()
        return when (val tokens = customerTokens(CustomerId(name))) {
            is CustomerTokens.Known -> tokens.hashes
            CustomerTokens.NoContract -> emptyList()
            CustomerTokens.Stale -> throw unavailable(
                "configuration_stale",
                "this host has not heard from the leader lately"
            )
        }
    }

    private fun principalWithoutToken(access: Access, headers: HttpHeaders): Principal {
        val name = headers[CUSTOMER_HEADER]
        if (name != null && !isValidId(name)) {
            throw badRequest("bad_header", "$CUSTOMER_HEADER is not a valid id")
        }
        return when (access) {
            Access.CUSTOMER -> customerOf(name)
            Access.CUSTOMER_OR_OPERATOR ->
                if (name == null) Principal.Operator else customerOf(name)
            Access.OPERATOR -> Principal.Operator
            Access.MEMBER -> Principal.Member
            Access.ANYONE -> Principal.Anyone
        }
    }

    private fun customerOf(name: String?): Principal {
        if (name == null) throw unauthorized("the header $CUSTOMER_HEADER is needed")
        return Principal.Customer(CustomerId(name))
    }
}

private fun Principal.mayUse(access: Access): Boolean = when (access) {
    Access.ANYONE -> true
    Access.CUSTOMER -> this is Principal.Customer
    Access.MEMBER -> this is Principal.Member
    Access.OPERATOR -> this is Principal.Operator
    Access.CUSTOMER_OR_OPERATOR -> this is Principal.Customer || this is Principal.Operator
}

private fun unauthorized(message: String): HttpError = HttpError(
    401,
    "unauthorized",
    message,
    headers = mapOf("WWW-Authenticate" to "Bearer")
)

private fun bearerToken(headers: HttpHeaders): String? {
    val value = headers[HttpHeaderNames.AUTHORIZATION] ?: return null
    if (!value.startsWith(BEARER, ignoreCase = true)) return null
    return value.substring(BEARER.length).trim()
}

/** Salts and hashes a bearer token, `<name>:<secret>`, for a contract or the settings. */
internal fun hashToken(token: String): TokenHash {
    val salt = ByteArray(SALT_BYTES).also(SecureRandom()::nextBytes)
    return TokenHash(salt.toHexString(), digest(salt, token).toHexString())
}

/** Compares with every hash in constant time, even after a match. */
private fun matchesAny(token: String, hashes: List<TokenHash>): Boolean {
    var found = false
    for (hash in hashes) {
        found = MessageDigest.isEqual(hash.hashHex.fromHex(), digest(hash.saltHex.fromHex(), token))
            .or(found)
    }
    return found
}

private fun String.fromHex(): ByteArray = try {
    hexToByteArray()
} catch (_: IllegalArgumentException) {
    ByteArray(0)
}

private fun digest(salt: ByteArray, token: String): ByteArray {
    val sha256 = MessageDigest.getInstance("SHA-256")
    sha256.update(salt)
    return sha256.digest(token.encodeToByteArray())
}
