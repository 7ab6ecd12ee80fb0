/*
 * reload - reloads the settings file of a running process
 *
 * SOURCE cmd/reload.c
 */
#ifndef RELOAD_H
#define RELOAD_H

#include "kernel/module.h"
#include "lib/settings.h"

/*
 * reload_settings - reads the settings file PATH and passes its settings to the running modules.
 * When the file is not valid or changes a key that blocks a reload, logs that and changes nothing.
 * Takes ownership of CURRENT. Returns the settings in force, CURRENT or those of the file, and
 * frees the others.
 */
struct settings *reload_settings(struct module_registry *modules, struct settings *current,
				 const char *path);
void reload_settings_free(struct settings *s);

#endif
