package org.dahliapass.gateway;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import org.dahliapass.kernel.OperationException;

/**
 * Runs an action on SIGHUP, which would otherwise end the process.
 *
 * <p>The signal classes of the runtime are not part of the Java platform, and a direct use causes a
 * compiler warning that cannot be suppressed; they are accessed by reflection.
 */
final class SighupHandler {
    private static final String SIGNAL = "sun.misc.Signal";
    private static final String HANDLER = "sun.misc.SignalHandler";

    private SighupHandler() {}

    /**
     * Installs the action.
     *
     * @throws OperationException if this runtime lacks the signal classes
     */
    static void install(Runnable action) {
        try {
            Class<?> signal = Class.forName(SIGNAL);
            Class<?> handler = Class.forName(HANDLER);
            Object proxy =
                    Proxy.newProxyInstance(
                            handler.getClassLoader(),
                            new Class<?>[] {handler},
                            (self, method, arguments) -> call(action, self, method, arguments));
            Object hangup = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, hangup, proxy);
        } catch (ClassNotFoundException
                | NoSuchMethodException
                | InstantiationException
                | IllegalAccessException
                | InvocationTargetException failure) {
            throw new OperationException(
                    "handle SIGHUP",
                    "self",
                    "This Java runtime lacks sun.misc.Signal; use one that has it.",
                    failure);
        }
    }

    private static Object call(Runnable action, Object self, Method method, Object[] arguments) {
        return switch (method.getName()) {
            case "handle" -> {
                action.run();
                yield null;
            }
            case "equals" -> self == arguments[0];
            case "hashCode" -> System.identityHashCode(self);
            default -> HANDLER;
        };
    }
}
