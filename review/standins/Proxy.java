import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * Forwards TCP connections to one address. While a direction is cut, its bytes are held, and
 * delivered when the cut heals, as TCP does with bytes that a partition held up.
 */
final class Proxy implements AutoCloseable {
    private final ServerSocket listening;
    private final InetSocketAddress target;
    private final Object gate = new Object();
    private boolean holdToTarget;
    private boolean holdToSource;

    Proxy(String ip, int port, String targetIp, int targetPort) throws IOException {
        listening = new ServerSocket();
        listening.setReuseAddress(true);
        listening.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 256);
        target = new InetSocketAddress(targetIp, targetPort);
        start(this::accept);
    }

    String address() {
        return listening.getInetAddress().getHostAddress() + ":" + listening.getLocalPort();
    }

    /** Cuts or heals each direction. */
    void cut(boolean toTarget, boolean toSource) {
        synchronized (gate) {
            holdToTarget = toTarget;
            holdToSource = toSource;
            gate.notifyAll();
        }
    }

    private void accept() {
        while (!listening.isClosed()) {
            try {
                Socket source = listening.accept();
                start(() -> connect(source));
            } catch (IOException e) {
                if (listening.isClosed()) return;
            }
        }
    }

    private void connect(Socket source) {
        Socket onward = new Socket();
        try {
            source.setTcpNoDelay(true);
            onward.setTcpNoDelay(true);
            // A connection needs both directions before it carries anything; one that is opened
            // during a cut stays silent until the cut heals, and is of no use then.
            boolean duringCut;
            synchronized (gate) {
                duringCut = holdToTarget || holdToSource;
                while (holdToTarget || holdToSource) gate.wait();
            }
            if (duringCut) throw new IOException("opened during a cut");
            onward.connect(target, 5_000);
            start(() -> copy(source, onward, true));
            copy(onward, source, false);
        } catch (IOException | InterruptedException e) {
            close(source);
            close(onward);
        }
    }

    private void copy(Socket from, Socket to, boolean towardsTarget) {
        byte[] buffer = new byte[64 * 1024];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            while (true) {
                int count = in.read(buffer);
                synchronized (gate) {
                    while (towardsTarget ? holdToTarget : holdToSource) gate.wait();
                }
                if (count < 0) break;
                out.write(buffer, 0, count);
            }
            to.shutdownOutput();
        } catch (IOException | InterruptedException e) {
            close(from);
            close(to);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // Nothing is left to close.
        }
    }

    private static void start(Runnable action) {
        Thread thread = new Thread(action, "proxy");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }
}
