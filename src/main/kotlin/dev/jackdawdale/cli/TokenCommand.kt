package dev.jackdawdale.cli

import dev.jackdawdale.entry.hashToken
import java.security.SecureRandom
import java.util.Base64
import java.util.concurrent.Callable
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters

@Command(
    name = "token",
    description = ["Creates bearer tokens."],
    mixinStandardHelpOptions = true
)
internal class TokenCommand : Runnable {
    override fun run() = CommandLine(this).usage(System.out)
}

internal fun tokenCommandLine(): CommandLine =
    CommandLine(TokenCommand()).addSubcommand(TokenHashCommand())

@Command(
    name = "hash",
    description = [
        "Prints a new token for NAME and its salted hash for settings or contracts.",
        "With --stdin the token is read from standard input and only the hash is printed."
    ],
    footer = ["", "Example: jackdawdale token hash operator"],
    mixinStandardHelpOptions = true
)
internal class TokenHashCommand : Callable<Int> {
    @Parameters(
        paramLabel = "NAME",
        arity = "0..1",
        description = ["operator, member or a customer id."]
    )
    var name: String? = null

    @Option(names = ["--stdin"], description = ["Reads the whole token, <name>:<secret>."])
    var stdin: Boolean = false

    override fun call(): Int {
        val token = if (stdin) readlnOrNull()?.trim() else name?.let { "$it:${secret()}" }
        if (token == null || token.substringBefore(':', "").isEmpty()) {
            System.err.println("give a NAME, or <name>:<secret> with --stdin")
            return ExitCode.USAGE
        }
        val hash = hashToken(token)
        if (!stdin) println("token: $token")
        println("hash: ${hash.saltHex}:${hash.hashHex}")
        return ExitCode.OK
    }

    private fun secret(): String {
        val bytes = ByteArray(SECRET_BYTES).also(SecureRandom()::nextBytes)
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
    }
}

private const val SECRET_BYTES = 24
