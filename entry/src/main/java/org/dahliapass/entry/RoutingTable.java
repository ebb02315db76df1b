package org.dahliapass.entry;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.ServiceTemplate;
import org.dahliapass.model.Template;

/** An immutable snapshot of the templates in force on this VM, read by traffic threads. */
public final class RoutingTable {
    /** A table without templates. */
    public static final RoutingTable EMPTY = new RoutingTable(Map.of());

    private final Map<String, Template> mTemplates;

    private RoutingTable(Map<String, Template> templates) {
        mTemplates = Map.copyOf(templates);
    }

    /** Returns a copy in which this template replaces the customer's previous one. */
    public RoutingTable with(Template template) {
        Map<String, Template> templates = new HashMap<>(mTemplates);
        templates.put(template.customer(), template);
        return new RoutingTable(templates);
    }

    /** Returns a copy without the customer's template. */
    public RoutingTable without(String customer) {
        Map<String, Template> templates = new HashMap<>(mTemplates);
        templates.remove(customer);
        return new RoutingTable(templates);
    }

    /** Returns the templates in force. */
    public Collection<Template> templates() {
        return mTemplates.values();
    }

    /** Returns all services with targets. */
    public List<ServiceTemplate> provided() {
        return mTemplates.values().stream()
                .flatMap(template -> template.services().stream())
                .filter(service -> !service.targets().isEmpty())
                .toList();
    }

    /** Returns a customer's route to a service, or empty if either template lacks the service. */
    public Optional<Route> find(String customer, String service) {
        Template template = mTemplates.get(customer);
        if (template == null) {
            return Optional.empty();
        }
        return template.service(service)
                .flatMap(own -> provided(own.id()).map(found -> new Route(customer, own, found)));
    }

    /** Returns a service from its provider's template, or empty if it has no targets there. */
    public Optional<ServiceTemplate> provided(ServiceId id) {
        Template template = mTemplates.get(id.provider());
        if (template == null) {
            return Optional.empty();
        }
        return template.service(id.name()).filter(service -> !service.targets().isEmpty());
    }
}
