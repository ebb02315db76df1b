import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The project's own VMs, each a process that is started with the command of the deploy file. */
final class Fleet {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern SECTION =
            Pattern.compile("\\{\\{#([\\w.]+)\\}\\}(.*?)\\{\\{/\\1\\}\\}", Pattern.DOTALL);
    private static final Pattern FIELD = Pattern.compile("\\{\\{([\\w.]+)\\}\\}");

    /** A process and its addresses. */
    static final class Vm {
        final String mName;
        final String mZone;
        final int[] mPorts = new int[5];
        Process mProcess;

        Vm(String name, String zone) {
            mName = name;
            mZone = zone;
        }

        String front() {
            return "127.0.0.1:" + mPorts[0];
        }

        String ready() {
            return "127.0.0.1:" + mPorts[1];
        }

        String control() {
            return "127.0.0.1:" + mPorts[2];
        }

        String directory() {
            return "127.0.0.1:" + mPorts[3];
        }
    }

    private final Path mRepository;
    private final Path mWork;
    private final String mStore;
    private final List<Vm> mVms = new ArrayList<>();

    Fleet(Path repository, Path work, String store) {
        mRepository = repository;
        mWork = work;
        mStore = store;
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
    }

    List<Vm> vms() {
        return mVms;
    }

    List<String> directories() {
        return mVms.stream().map(Vm::directory).toList();
    }

    Vm add(String name, String zone) throws IOException {
        Vm vm = new Vm(name, zone);
        List<ServerSocket> sockets = new ArrayList<>();
        for (int index = 0; index < vm.mPorts.length; index++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            sockets.add(socket);
            vm.mPorts[index] = socket.getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        mVms.add(vm);
        return vm;
    }

    /** Starts all VMs and waits until each is ready; returns false if one isn't. */
    boolean start() throws IOException {
        for (Vm vm : mVms) {
            start(vm);
        }
        long end = Clock.millis() + 30_000;
        for (Vm vm : mVms) {
            while (!isReady(vm)) {
                if (Clock.millis() > end || !vm.mProcess.isAlive()) {
                    return false;
                }
                Clock.sleep(50);
            }
        }
        return true;
    }

    void start(Vm vm) throws IOException {
        Path settings = mWork.resolve(vm.mName + ".conf");
        Files.writeString(settings, render(vm));
        Matcher run =
                RUN.matcher(Files.readString(mRepository.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no run line");
        }
        List<String> words = new ArrayList<>(Arrays.asList(run.group(1).split(" +")));
        words.set(words.indexOf("--settings") + 1, settings.toString());
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.directory(mRepository.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(mWork.resolve(vm.mName + ".log").toFile()));
        vm.mProcess = builder.start();
        Files.writeString(
                mWork.resolve("pids"),
                vm.mProcess.pid() + "\n",
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
    }

    /** Fills in the template of the deploy file, as the platform does. */
    private String render(Vm vm) throws IOException {
        Map<String, String> fields = new TreeMap<>();
        fields.put("node", vm.mName);
        fields.put("zone", vm.mZone);
        fields.put("region", "r");
        fields.put("ip", "127.0.0.1");
        fields.put("listen.front", vm.front());
        fields.put("listen.ready", vm.ready());
        fields.put("listen.control", vm.control());
        fields.put("listen.directory", vm.directory());
        fields.put("internal_ports.0", Integer.toString(vm.mPorts[4]));
        String seeds =
                String.join(",", mVms.stream().limit(3).map(Vm::control).toList());
        fields.put("seeds", seeds);
        fields.put("seeds.0", seeds);
        fields.put("limits.cores", "1");
        fields.put("limits.cpu_share", "0.6");
        fields.put("limits.link_mbps", "1000.0");
        fields.put("limits.memory_mb", "430");
        fields.put("limits.fd_limit", "4100");
        fields.put("bounds.grace_s", "6");
        fields.put("bounds.retry_slack", "58");
        fields.put("platform.address", mStore);
        fields.put("platform.writes_per_s", "400");
        String template = Files.readString(mRepository.resolve("deploy/settings.ini"));
        String sections =
                SECTION.matcher(template)
                        .replaceAll(
                                match ->
                                        Matcher.quoteReplacement(
                                                fields.containsKey(match.group(1))
                                                        ? match.group(2)
                                                        : ""));
        return FIELD.matcher(sections)
                .replaceAll(
                        match ->
                                Matcher.quoteReplacement(
                                        fields.getOrDefault(match.group(1), "")));
    }

    private static boolean isReady(Vm vm) {
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), vm.mPorts[1]), 500);
            socket.setSoTimeout(500);
            socket.getOutputStream()
                    .write(
                            ("GET /api/readiness HTTP/1.1\r\nHost: " + vm.ready()
                                            + "\r\nConnection: close\r\n\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1));
            Message answer = Message.readHead(socket.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (IOException notYet) {
            return false;
        }
    }

    /** Returns the VMs whose processes have ended by themselves. */
    List<String> ended() {
        return mVms.stream()
                .filter(vm -> vm.mProcess != null && !vm.mProcess.isAlive())
                .map(vm -> vm.mName)
                .toList();
    }

    /** Ends all processes that were started here. */
    void stop() {
        for (Vm vm : mVms) {
            if (vm.mProcess != null) {
                vm.mProcess.destroyForcibly();
            }
        }
        for (Vm vm : mVms) {
            try {
                if (vm.mProcess != null) {
                    vm.mProcess.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
